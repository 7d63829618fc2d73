// Command adapter hosts the decision module (package policy) for the bench, the program that evaluates decision modules. It
// reads the events of the bench from standard input and writes orders to standard output.
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
