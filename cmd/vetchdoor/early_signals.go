//go:build cgo

package main

/*
#include <signal.h>

// A Go program catches SIGHUP only some milliseconds after its start; until then the signal would end the process. This
// constructor ignores it from the first instructions on. The Go runtime keeps a signal ignored until the program asks for it.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
