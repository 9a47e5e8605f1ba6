package main

import (
	"os"
	"syscall"
)

// stopOnSignals calls stop at the first signal, and exit at a later SIGINT. A repeated SIGTERM changes nothing: whoever sends it stops the
// process with SIGKILL once the grace period is over, and until then the requests under way are answered.
func stopOnSignals(signals <-chan os.Signal, stop, exit func()) {
	<-signals
	stop()
	for s := range signals {
		if s == syscall.SIGINT {
			exit()
			return
		}
	}
}
