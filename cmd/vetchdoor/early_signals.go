//go:build cgo

package main

/*
#include <signal.h>

// Until the Go program takes SIGHUP, which is some milliseconds after its start, the signal would end it. The Go runtime
// leaves a signal alone that it finds ignored, until somebody asks for it.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
