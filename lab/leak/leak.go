// Package leak checks that the tests of a package leave no goroutines behind. A package's TestMain calls Main.
package leak

import (
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests and fails if goroutines remain, except netpoll's pollers and the idle workers of package stream.
func Main(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("vetchdoor/stream.work"))
}
