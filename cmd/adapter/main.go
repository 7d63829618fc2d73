// Command drill runs the assigner on the bench's wire, on standard input and output.
package main

import (
	"fmt"
	"os"

	"vetchdoor/drill"
)

func main() {
	if err := drill.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}
