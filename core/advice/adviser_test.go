package advice

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

func hosts(n int) []Host {
	out := make([]Host, n)
	for i := range out {
		region := fleet.Region(fmt.Sprint("r", i%3))
		out[i] = Host{
			ID: fleet.HostID(fmt.Sprint("h", i)), Address: fmt.Sprint("h", i),
			Place: fleet.Place{Region: region, DataCentre: fleet.DataCentre(region + "-a")},
		}
	}
	return out
}

func target(name string) Target {
	return Target{Name: name, Backends: []Backend{{Place: fleet.Place{Region: "r1", DataCentre: "r1-a"}, Owner: "h4"}}}
}

// Each case guards against sending callers to a host that serves them slowly or not at all.
func TestHosts(t *testing.T) {
	for name, c := range map[string]struct {
		change    func(h []Host)
		target    Target
		wantFirst string
		excluded  string
	}{
		"owner first":                  {func([]Host) {}, target("m"), "h4", ""},
		"draining owner is left out":   {func(h []Host) { h[4].Draining = true }, target("m"), "", "h4"},
		"dead owner is left out":       {func(h []Host) { h[4].Dead = true }, target("m"), "", "h4"},
		"overloaded owner is left out": {func(h []Host) { h[4].Load = 0.9 }, target("m"), "", "h4"},
		"hosts of the caller's region": {func([]Host) {}, Target{Name: "m", Caller: fleet.Place{Region: "r2"}}, "", "h0"},
	} {
		t.Run(name, func(t *testing.T) {
			h := hosts(9)
			c.change(h)
			a := New(Settings{})
			a.SetHosts(h)
			got := a.Hosts(c.target)
			require.Len(t, got.Addresses, DefaultHosts)
			require.Equal(t, DefaultLifetime, got.Lifetime)
			if c.wantFirst != "" {
				require.Equal(t, c.wantFirst, got.Addresses[0])
			}
			require.NotContains(t, got.Addresses, c.excluded)
		})
	}
}

// Guards against an empty answer while every host is overloaded, and against naming dead or draining hosts when no other is left.
func TestOverloadedHostsAreTheLastResort(t *testing.T) {
	h := hosts(2)
	h[0].Load, h[1].Load = 0.95, 0.9
	a := New(Settings{})
	a.SetHosts(h)
	require.Len(t, a.Hosts(target("m")).Addresses, 2)
	h[0].Dead, h[1].Draining = true, true
	a.SetHosts(h)
	require.Empty(t, a.Hosts(target("m")).Addresses)
}

// Guards against answers that depend on the order of the hosts or on small differences of load.
func TestSameAnswerOnAllHosts(t *testing.T) {
	h := hosts(9)
	a, b := New(Settings{}), New(Settings{})
	a.SetHosts(h)
	slices.Reverse(h)
	for i := range h {
		h[i].Load = 0.02
	}
	b.SetHosts(h)
	for i := range 50 {
		name := fmt.Sprint("m", i)
		require.Equal(t, a.Hosts(target(name)), b.Hosts(target(name)))
	}
}

// Guards against callers of all models that use the same hosts, and against a dead host that moves the callers of other hosts.
func TestModelsSpread(t *testing.T) {
	h := hosts(9)
	a := New(Settings{})
	a.SetHosts(h)
	count := map[string]int{}
	before := map[string]string{}
	for i := range 900 {
		name := fmt.Sprint("m", i)
		first := a.Hosts(Target{Name: name}).Addresses[0]
		count[first]++
		before[name] = first
	}
	for _, x := range h {
		require.InDelta(t, 100, count[x.Address], 50)
	}
	h[0].Dead = true
	a.SetHosts(h)
	for name, first := range before {
		if first != "h0" {
			require.Equal(t, first, a.Hosts(Target{Name: name}).Addresses[0])
		}
	}
}

func BenchmarkHosts(b *testing.B) {
	a := New(Settings{})
	a.SetHosts(hosts(1300))
	t := target("m")
	for range 63 {
		t.Backends = append(t.Backends, t.Backends[0])
	}
	b.ReportAllocs()
	for b.Loop() {
		a.Hosts(t)
	}
}
