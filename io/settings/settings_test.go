package settings

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/config"
)

const sample = `id: bdg-1
region: west
data-centre: west-1
listen:
  callers: 127.0.1.1:7400
  hosts: 127.0.1.1:7401
  operators: 127.0.1.1:7402
data-folder: /var/lib/toucanway
voters:
  bdg-1: 127.0.1.1:7401
  smg-1: 127.0.2.1:7401
  sby-1: 127.0.3.1:7401
logs: {default: warn, raft: debug}
`

// Guards against values that are not decoded and against changed defaults.
func TestParseReadsSettings(t *testing.T) {
	s, problems := Parse("host.yaml", sample)
	require.NoError(t, problems.Err())
	require.True(t, s.IsVoter())
	require.Equal(t, uint16(7401), s.Listen.Hosts.AddrPort().Port())
	require.Equal(t, 120*time.Second, s.DrainBound)
	require.Equal(t, 2, s.LedgerGroups)
	require.Equal(t, "west-1", string(s.Place().DataCentre))
	var out bytes.Buffer
	l := NewLoggers(s, &out)
	l.Logger(LogRaft).Debug("shown")
	l.Logger(LogDisk).Info("hidden")
	require.Contains(t, out.String(), `"subsystem":"raft"`)
	require.NotContains(t, out.String(), "hidden")
	r, err := NewReloader(ReloaderSettings{Files: s.TLS.Callers})
	require.NoError(t, err)
	require.Nil(t, r.Server())
	require.Nil(t, r.Client())
}

// Guards against hosts that start with settings that cannot work.
func TestParseReportsProblems(t *testing.T) {
	for name, tc := range map[string]struct{ from, to, want string }{
		"unknown key":        {"region: west", "regoin: west", `unknown key "regoin"`},
		"missing key":        {"region: west\n", "", `has no key "region"`},
		"name as address":    {"callers: 127.0.1.1:7400", "callers: localhost:7400", "is not IP:PORT; write an address, IP:PORT"},
		"unspecified":        {"callers: 127.0.1.1:7400", "callers: 0.0.0.0:7400", "does not name a single interface"},
		"same address":       {"callers: 127.0.1.1:7400", "callers: 127.0.1.1:7402", "have the same address"},
		"two voters":         {"  sby-1: 127.0.3.1:7401\n", "", "2 voters are given"},
		"voter without data": {"data-folder: /var/lib/toucanway\n", "", "the host is a voter and has no data-folder"},
		"voter address":      {"bdg-1: 127.0.1.1:7401", "bdg-1: 127.0.1.2:7401", "is not listen.hosts"},
		"same voter address": {"smg-1: 127.0.2.1", "smg-1: 127.0.3.1", "have the same address"},
		"log level":          {"raft: debug", "raft: loud", "write one of debug, info, warn, error"},
		"log subsystem":      {"raft: debug", "rafts: debug", "is not a known value"},
		"incomplete TLS":     {"logs:", "tls: {hosts: {certificate: a.pem}}\nlogs:", "tls.hosts is incomplete"},
		"no credential":      {"logs:", "first-operator: {id: ana}\nlogs:", "first-operator is incomplete"},
		"duration":           {"logs:", "drain-bound: 2\nlogs:", "is not a duration"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(sample, tc.from, tc.to, 1)
			require.NotEqual(t, sample, text)
			s, problems := Parse("host.yaml", text)
			require.Nil(t, s)
			require.ErrorContains(t, problems.Err(), tc.want)
			require.Positive(t, problems[0].Line)
		})
	}
	_, problems := Parse("host.yaml", "id: a\nregion: b\ndata-centre: c\nlisten: {callers: x, hosts: y, operators: z}\n")
	require.Len(t, problems, 4, "all problems at once")
}

// Guards against panics on any input.
func FuzzParse(f *testing.F) {
	f.Add(sample)
	f.Add("first-operator: {id: a, credential: " + string(config.HashToken("", "x")) + "}\n")
	f.Fuzz(func(t *testing.T, text string) {
		s, problems := Parse("f", text)
		require.Equal(t, s == nil, len(problems) > 0)
	})
}
