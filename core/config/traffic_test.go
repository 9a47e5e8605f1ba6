package config

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against hosts that each move the whole deployment's bytes between regions.
func TestCrossRegionRate(t *testing.T) {
	const limit = 36_000_000
	doc := func(limit fleet.Bytes) *Document {
		d := &Document{}
		d.Regions.CrossRegionPerHour = limit
		d.Callers.Tenants = []Tenant{{ID: "a", Weight: 3}, {ID: "b", Weight: 1}}
		return d
	}
	tests := map[string]struct {
		tenant fleet.TenantID
		hosts  int
		want   fleet.Bytes
	}{
		"one host":           {"a", 1, 7500},
		"another tenant":     {"b", 1, 2500},
		"several hosts":      {"a", 9, 833},
		"many hosts":         {"b", 300, 8},
		"no session yet":     {"a", 0, 7500},
		"tenant not on file": {"c", 2, 1250},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, tt.want, doc(limit).CrossRegionRate(tt.tenant, tt.hosts))
		})
	}
	for _, hosts := range []int{1, 7, 300} {
		d := doc(limit)
		sum := (d.CrossRegionRate("a", hosts) + d.CrossRegionRate("b", hosts)) * fleet.Bytes(hosts)
		require.LessOrEqual(t, sum*3600, fleet.Bytes(limit))
	}
	require.Equal(t, unboundedTraffic, doc(0).CrossRegionRate("a", 9))
}
