package ledger

import (
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

func attempt(host string, n uint64) Attempt {
	return Attempt{Host: fleet.HostID(host), Incarnation: 1, Number: n}
}

func apply(t require.TestingT, m *Machine, c Command) Result {
	data, err := Encode(c)
	require.NoError(t, err)
	res, err := DecodeResult(m.Apply(1, data))
	require.NoError(t, err)
	return res
}

// Guards against a repetition that runs although an earlier attempt may have run, a lost answer, a refusal that wrongly says
// that the request did not run, and a record that is deleted too early.
func TestRecordTransitions(t *testing.T) {
	key := Key{Tenant: "t", Key: "k"}
	a, b := attempt("h1", 1), attempt("h2", 1)
	dispatchA := &Dispatch{Key: key, Fingerprint: 7, Attempt: a}
	dispatchB := &Dispatch{Key: key, Fingerprint: 7, Attempt: b}
	answer := Answer{Status: 200, Body: []byte("ok")}
	tests := map[string]struct {
		before []Command
		last   Command
		want   Verdict
	}{
		"first dispatch runs":                                  {nil, dispatchA, VerdictAccepted},
		"repetition at another host does not run":              {[]Command{dispatchA}, dispatchB, VerdictRunning},
		"repeated dispatch of one attempt is accepted":         {[]Command{dispatchA}, dispatchA, VerdictAccepted},
		"other body under the same key is refused":             {[]Command{dispatchA}, &Dispatch{Key: key, Fingerprint: 8, Attempt: b}, VerdictMismatch},
		"repetition gets the answer":                           {[]Command{dispatchA, &Complete{key, a, answer}}, dispatchB, VerdictAnswered},
		"request with an unknown outcome does not run again":   {[]Command{dispatchA, &MarkUnknown{key, a}}, dispatchB, VerdictUnknown},
		"late answer replaces an unknown outcome":              {[]Command{dispatchA, &MarkUnknown{key, a}}, &Complete{key, a, answer}, VerdictAccepted},
		"abandoned attempt cannot be dispatched":               {[]Command{&Abandon{key, 7, a}}, dispatchA, VerdictAbandoned},
		"repetition after an abandoned attempt runs":           {[]Command{&Abandon{key, 7, a}}, dispatchB, VerdictAccepted},
		"attempt abandoned beside another is never dispatched": {[]Command{dispatchB, &Abandon{key, 7, a}, &Abandon{key, 7, b}}, dispatchA, VerdictAbandoned},
		"abandon while another attempt runs is not accepted":   {[]Command{dispatchB}, &Abandon{key, 7, a}, VerdictRunning},
		"abandon after the answer returns the answer":          {[]Command{dispatchA, &Complete{key, a, answer}}, &Abandon{key, 7, a}, VerdictAnswered},
		"outcome is unknown after the dispatching host closed": {[]Command{dispatchA, &CloseHost{"h1", 1}}, dispatchB, VerdictUnknown},
		"closing another host changes nothing":                 {[]Command{dispatchA, &CloseHost{"h2", 1}}, dispatchB, VerdictRunning},
		"answer of another attempt is not stored":              {[]Command{dispatchA}, &Complete{key, b, answer}, VerdictStale},
		"running request is kept past the retention":           {[]Command{dispatchA, &Advance{Elapsed: time.Hour, Retention: time.Minute}}, dispatchB, VerdictRunning},
		"record is kept inside the retention":                  {[]Command{dispatchA, &Complete{key, a, answer}, &Advance{Elapsed: time.Minute, Retention: time.Minute}}, dispatchB, VerdictAnswered},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			var m Machine
			for _, c := range tc.before {
				apply(t, &m, c)
			}
			require.Equal(t, tc.want, apply(t, &m, tc.last).Verdict)
		})
	}
}

// Guards against a full ledger that deletes a record within its retention or lets a request with a new key run.
func TestFullLedgerRefusesNewKeys(t *testing.T) {
	var m Machine
	apply(t, &m, &Advance{Retention: time.Hour, MaxRecords: 1})
	apply(t, &m, &Dispatch{Key: Key{Key: "a"}, Attempt: attempt("h", 1)})
	require.Equal(t, VerdictFull, apply(t, &m, &Dispatch{Key: Key{Key: "b"}, Attempt: attempt("h", 2)}).Verdict)
	require.Equal(t, VerdictRunning, apply(t, &m, &Dispatch{Key: Key{Key: "a"}, Attempt: attempt("h", 3)}).Verdict)
}

// Guards against two attempts with the right to run for one key, and against a dispatch of an abandoned attempt, in any
// order of commands and with a snapshot restored at any point.
func TestAtMostOneDispatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &Machine{}
		key := Key{Tenant: "t", Key: "k"}
		granted := map[Attempt]bool{}
		abandoned := map[Attempt]bool{}
		gen := rapid.Custom(func(t *rapid.T) Attempt {
			return attempt(rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host"), rapid.Uint64Range(1, 2).Draw(t, "n"))
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			a := gen.Draw(t, "attempt")
			switch rapid.IntRange(0, 5).Draw(t, "command") {
			case 0, 1:
				if apply(t, m, &Dispatch{Key: key, Fingerprint: 7, Attempt: a}).Verdict == VerdictAccepted {
					require.False(t, abandoned[a], "abandoned attempt %v was dispatched", a)
					granted[a] = true
				}
			case 2:
				if apply(t, m, &Abandon{key, 7, a}).Verdict == VerdictAccepted {
					delete(granted, a)
					require.Empty(t, granted, "an abandon was accepted while another attempt may run")
				}
				if r, ok := m.Lookup(key); ok && slices.Contains(r.Abandoned, a) {
					abandoned[a] = true
				}
			case 3:
				apply(t, m, &Complete{key, a, Answer{Status: 200}})
			case 4:
				apply(t, m, &MarkUnknown{key, a})
			case 5:
				data, err := m.Snapshot()
				require.NoError(t, err)
				m = &Machine{}
				require.NoError(t, m.Restore(1, data))
			}
			require.LessOrEqual(t, len(granted), 1, "two attempts may run: %v", granted)
		}
	})
}

// Guards against a snapshot with more records than the CBOR library decodes by default, so that it can't be restored.
func TestLargeSnapshot(t *testing.T) {
	var m Machine
	const records = 140_000
	for i := range uint64(records) {
		m.apply(&Dispatch{Key: Key{Key: strconv.FormatUint(i, 10)}, Attempt: attempt("h", i)})
	}
	data, err := m.Snapshot()
	require.NoError(t, err)
	var got Machine
	require.NoError(t, got.Restore(1, data))
	require.Equal(t, records, got.Len())
}
