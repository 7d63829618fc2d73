// Command adapter hosts the decision module (package policy) for the bench, whose protocol it speaks on standard input
// and output.
package main

import (
	"fmt"
	"os"

	"vetchdoor/adapter"
)

func main() {
	if err := adapter.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}
