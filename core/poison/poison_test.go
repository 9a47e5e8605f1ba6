package poison

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

var epoch = time.Unix(1_000_000, 0)

// Each case guards against a repetition that gets another fingerprint, or a new request that gets the fingerprint of another one.
func TestFingerprint(t *testing.T) {
	base := Fingerprint("t", "m", []byte(`{"prompt":"x","max_tokens":5}`))
	for name, c := range map[string]struct {
		tenant fleet.TenantID
		target string
		body   string
		same   bool
	}{
		"same":             {"t", "m", `{"prompt":"x","max_tokens":5}`, true},
		"order and spaces": {"t", "m", ` { "max_tokens": 5, "prompt": "x" } `, true},
		"stream and user":  {"t", "m", `{"prompt":"x","max_tokens":5,"stream":true,"user":"u"}`, true},
		"other prompt":     {"t", "m", `{"prompt":"y","max_tokens":5}`, false},
		"other tenant":     {"u", "m", `{"prompt":"x","max_tokens":5}`, false},
		"other target":     {"t", "m:a", `{"prompt":"x","max_tokens":5}`, false},
		"same text split differently into tenant and target": {"tm", "", `{"prompt":"x","max_tokens":5}`, false},
		"not JSON":      {"t", "m", `prompt`, false},
		"trailing data": {"t", "m", `{"prompt":"x","max_tokens":5}{}`, false},
	} {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, c.same, base == Fingerprint(c.tenant, c.target, []byte(c.body)))
		})
	}
}

// Guards against bodies that crash the host, and against a normal form that normalising changes again: a repetition that
// differs only in form would count as a new request.
func FuzzFingerprint(f *testing.F) {
	f.Add([]byte(`{"prompt":"x","max_tokens":5,"stream":true}`))
	f.Add([]byte(`[1e400]`))
	f.Fuzz(func(t *testing.T, body []byte) {
		first := Fingerprint("t", "m", body)
		if again := normalise(body); Fingerprint("t", "m", again) != first {
			t.Fatalf("normalising %q twice differs", body)
		}
	})
}

// Each case guards against a dangerous request that runs beside others, or a harmless one that is refused or delayed.
func TestDecide(t *testing.T) {
	suspect := control.CrashRecord{Fingerprint: 1, Crashes: 1, Index: 5}
	poisoned := control.CrashRecord{Fingerprint: 1, Crashes: 2, Poison: true, Index: 6}
	for name, c := range map[string]struct {
		prepare  func(v *View)
		replicas int
		after    time.Duration
		want     Decision
	}{
		"unknown":                 {prepare: func(*View) {}, replicas: 1, want: Run{}},
		"suspect":                 {prepare: func(v *View) { v.SetCrashRecords(epoch, []control.CrashRecord{suspect}) }, replicas: 2, want: RunAlone{}},
		"suspect on last replica": {prepare: func(v *View) { v.SetCrashRecords(epoch, []control.CrashRecord{suspect}) }, replicas: 1, want: Wait{}},
		"poison":                  {prepare: func(v *View) { v.SetCrashRecords(epoch, []control.CrashRecord{poisoned}) }, replicas: 9, want: Refuse{}},
		"expired":                 {prepare: func(v *View) { v.SetCrashRecords(epoch, []control.CrashRecord{poisoned}) }, replicas: 9, after: DefaultExpiry, want: Run{}},
		"local suspect":           {prepare: func(v *View) { v.Suspect(epoch, 1) }, replicas: 2, want: RunAlone{}},
		"local suspicion expires": {prepare: func(v *View) { v.Suspect(epoch, 1) }, replicas: 2, after: DefaultLocalExpiry, want: Run{}},
		"completed":               {prepare: func(v *View) { v.Suspect(epoch, 1); v.Completed(1) }, replicas: 2, want: Run{}},
		"repeated mark keeps its age": {prepare: func(v *View) {
			v.SetCrashRecords(epoch, []control.CrashRecord{suspect})
			v.SetCrashRecords(epoch.Add(time.Minute), []control.CrashRecord{suspect})
		}, replicas: 2, after: DefaultExpiry, want: Run{}},
		"cleared by the control state": {prepare: func(v *View) { v.SetCrashRecords(epoch, []control.CrashRecord{suspect}); v.SetCrashRecords(epoch, nil) }, replicas: 2, want: Run{}},
	} {
		t.Run(name, func(t *testing.T) {
			v := New(Settings{})
			c.prepare(v)
			got := v.Decide(epoch.Add(c.after), 1, c.replicas)
			require.IsType(t, c.want, got)
			if r, ok := got.(Refuse); ok {
				require.Equal(t, fleet.CodePoisonRequest, r.Refusal.Code)
				require.Equal(t, fleet.NotRun, r.Refusal.Execution)
			}
		})
	}
}

// Guards against an unbounded number of local suspects, and against expired crash records that are never deleted.
func TestViewIsBounded(t *testing.T) {
	v := New(Settings{Limit: 10})
	for f := range fleet.Fingerprint(100) {
		v.Suspect(epoch.Add(time.Duration(f)), f)
	}
	require.Len(t, v.localSuspects, 10)
	require.IsType(t, RunAlone{}, v.Decide(epoch, 99, 2))
	v.SetCrashRecords(epoch, []control.CrashRecord{{Fingerprint: 7, Index: 1, Crashes: 1}})
	require.Empty(t, v.Expired(epoch))
	require.Equal(t, []fleet.Fingerprint{7}, v.Expired(epoch.Add(DefaultExpiry)))
}
