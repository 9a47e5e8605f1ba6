//go:build !race

package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// tell makes the gateway hear of a server from the control group.
func (f *fixture) tell(in registry.Instance) {
	v := f.gateway.view
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateInstance(&in)
}

// knows reports whether the gateway knows a server.
func (f *fixture) knows(id fleet.BackendID) bool {
	v := f.gateway.view
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.instances[id] != nil
}

// Guards against a crashed server that a gateway remembers, and takes for another server that could go on, until the next leader, and against a
// server that is forgotten although it runs and is only cut off from the control group.
func TestCrashedServerIsForgotten(t *testing.T) {
	in := registry.Instance{ID: "a", Incarnation: 1, Service: "s", Address: "a:80", Slots: 4}
	silent := in
	silent.Silent = true
	gone := in
	gone.State = registry.Gone
	tests := map[string]struct {
		// told is what the control group tells a minute before the check, later what it tells shortly before it.
		told, later []registry.Instance
		// crashed is set if the server refuses connections.
		crashed, known bool
	}{
		"crashed":                         {[]registry.Instance{in, silent}, nil, true, false},
		"cut off":                         {[]registry.Instance{in, silent}, nil, false, true},
		"refuses, sends heartbeats":       {[]registry.Instance{in}, nil, true, true},
		"silent for a short time":         {[]registry.Instance{in}, []registry.Instance{silent}, true, true},
		"heard again":                     {[]registry.Instance{in, silent}, []registry.Instance{in}, true, true},
		"silent again":                    {[]registry.Instance{in, silent}, []registry.Instance{in, silent}, true, true},
		"told again as silent":            {[]registry.Instance{in, silent}, []registry.Instance{silent}, true, false},
		"left":                            {[]registry.Instance{in, silent}, []registry.Instance{gone}, true, false},
		"crashed, told of after a change": {[]registry.Instance{silent}, nil, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				if !tt.crashed {
					f.addServer("a", signedAnswer("x"))
				}
				for _, in := range tt.told {
					f.tell(in)
				}
				time.Sleep(forgetAfter)
				for _, in := range tt.later {
					f.tell(in)
				}
				f.gateway.view.forgetCrashed(t.Context())
				require.Equal(t, tt.known, f.knows("a"))
				f.tell(in)
				require.True(t, f.knows("a"), "a server that is heard of again")
				f.close()
			})
		})
	}
}
