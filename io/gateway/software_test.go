//go:build !race

package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// setSoftware sets the software version of a server.
func (f *fixture) setSoftware(name string, v fleet.SoftwareVersion) {
	f.gateway.view.mu.Lock()
	defer f.gateway.view.mu.Unlock()
	f.gateway.view.instances[fleet.BackendID(name)].Software = v
}

// Guards against a stream that breaks off and goes on at a server of another software version (rule ORDER), and against one that ends
// although another server of its version could go on.
func TestStreamGoesOnAtItsSoftwareVersion(t *testing.T) {
	rest := inChunks(signedHead+eventType, event(3)+event(4))
	tests := map[string]struct {
		// others maps the servers that the stream may go on at to their software versions.
		others map[string]fleet.SoftwareVersion
		goesOn string
	}{
		"another version":           {map[string]fleet.SoftwareVersion{"b": "v2"}, ""},
		"the same version":          {map[string]fleet.SoftwareVersion{"b": "v1"}, "b"},
		"both":                      {map[string]fleet.SoftwareVersion{"b": "v2", "c": "v1"}, "c"},
		"a server without versions": {map[string]fleet.SoftwareVersion{"b": ""}, ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, f *fixture) {
				f.addServer("a", writeAndClose(brokenStreams["chunks"]))
				f.setSoftware("a", "v1")
				for n, v := range tt.others {
					f.addServer(n, rawAnswer(rest))
					f.makeSecondChoice(n)
					f.setSoftware(n, v)
				}
				body, whole := f.readStream("/resumable/x")
				for n := range tt.others {
					require.Equal(t, n == tt.goesOn, len(f.requests(n)) > 0, n)
				}
				require.Equal(t, tt.goesOn != "", whole)
				if whole {
					require.Equal(t, event(1)+event(2)+event(3)+event(4), body)
				}
			})
		})
	}
}
