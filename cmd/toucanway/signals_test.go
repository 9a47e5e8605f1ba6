package main

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a drain that a repeated SIGTERM ends at once, with requests under way that lose their answers (rule LOST), and against a
// process that a person at its terminal can't stop.
func TestStopOnSignals(t *testing.T) {
	tests := map[string]struct {
		signals []os.Signal
		exits   bool
	}{
		"SIGTERM":            {[]os.Signal{syscall.SIGTERM}, false},
		"SIGINT":             {[]os.Signal{syscall.SIGINT}, false},
		"SIGTERM repeated":   {[]os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, false},
		"SIGINT repeated":    {[]os.Signal{syscall.SIGINT, syscall.SIGINT}, true},
		"SIGINT, a SIGTERM":  {[]os.Signal{syscall.SIGINT, syscall.SIGTERM}, false},
		"SIGTERM, a SIGINT":  {[]os.Signal{syscall.SIGTERM, syscall.SIGINT}, true},
		"SIGTERM, then both": {[]os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			signals := make(chan os.Signal, len(tt.signals))
			for _, s := range tt.signals {
				signals <- s
			}
			close(signals)
			stops, exits := 0, false
			stopOnSignals(signals, func() { stops++ }, func() { exits = true })
			require.Equal(t, 1, stops)
			require.Equal(t, tt.exits, exits)
		})
	}
}
