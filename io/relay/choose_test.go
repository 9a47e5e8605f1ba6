package relay

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Guards against hosts of one data centre that choose different relays, or a relay that is dead, draining or in another
// data centre.
func TestChoose(t *testing.T) {
	sessions := func(n int) []control.Session {
		out := make([]control.Session, n)
		for i := range out {
			out[i] = control.Session{
				Host:  fleet.HostID(fmt.Sprintf("host-%03d", i)),
				Place: fleet.Place{DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%3))},
			}
		}
		return out
	}
	drained := sessions(66)
	drained[1].Draining = true
	for name, c := range map[string]struct {
		sessions []control.Session
		self     fleet.HostID
		dead     fleet.HostID
		want     fleet.HostID
	}{
		"few hosts":              {sessions(64), "host-010", "", ""},
		"lowest of data centre":  {sessions(66), "host-010", "", "host-001"},
		"lowest is dead":         {sessions(66), "host-010", "host-001", "host-004"},
		"lowest is draining":     {drained, "host-010", "", "host-004"},
		"self is the relay":      {sessions(66), "host-001", "", ""},
		"self is next":           {sessions(66), "host-004", "host-001", ""},
		"self without a session": {sessions(66), "host-999", "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			got, ok := Choose(c.sessions, c.self, func(id fleet.HostID) bool { return id != c.dead })
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, c.want, got.Host)
			}
		})
	}
}
