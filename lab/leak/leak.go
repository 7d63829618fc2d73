// Package leak checks that the tests of a package leave no goroutine behind. Main is called by its TestMain.
package leak

import (
	"testing"

	"go.uber.org/goleak"
)

// Main runs the tests and fails where goroutines are left, but for netpoll's pollers and the workers that package stream keeps for
// requests to come.
func Main(m *testing.M) {
	goleak.VerifyTestMain(m, goleak.IgnoreAnyFunction("github.com/cloudwego/netpoll.(*defaultPoll).Wait"),
		goleak.IgnoreAnyFunction("vetchdoor/stream.work"))
}
