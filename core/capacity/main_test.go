package capacity

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run checks the same cases. It raises the number of steps, since faults at
// a takeover show only after several seconds of simulated time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.steps": "150", "rapid.checks": "800"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
