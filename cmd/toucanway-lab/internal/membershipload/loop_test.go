package membershipload

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
	"toucanway/core/membership"
)

const seed = 7

// group starts hosts in three regions and lets them find each other.
func group(t testing.TB, hosts int) *Loop {
	t.Helper()
	t.Logf("seed %d", seed)
	l := NewLoop(seed)
	for i := range hosts {
		l.Add(place(i), 1)
	}
	require.True(t, l.RunUntil(2*time.Minute, l.Settled), "hosts find each other")
	l.Run(30 * time.Second)
	require.True(t, l.Settled())
	return l
}

func place(i int) fleet.Place {
	return fleet.Place{Region: fleet.Region(fmt.Sprintf("region-%d", i%3)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%6))}
}

// deaths records every verdict of death.
func (l *Loop) deaths() *[]string {
	var out []string
	l.Changed = func(at *Host, e membership.Effect) {
		if c, ok := e.(membership.Changed); ok && c.Member.State == membership.Dead {
			out = append(out, fmt.Sprintf("%s held %s for dead at %s", at.ID, c.Member.Host, l.Now))
		}
	}
	return &out
}

// first shortens what a failed check prints.
func first(deaths []string) []string { return deaths[:min(len(deaths), 3)] }

// Guards against deaths that go unnoticed or are noticed on some hosts only.
func TestDeathIsNoticed(t *testing.T) {
	for _, hosts := range []int{2, 3, 9, 100} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			l := group(t, hosts)
			l.Hosts[hosts-1].Stopped = true
			require.True(t, l.RunUntil(time.Minute, l.Settled))
		})
	}
}

// Guards against false verdicts while messages are lost at random.
func TestLossKillsNobody(t *testing.T) {
	for _, loss := range []float64{0.05, 0.15} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			l := group(t, 30)
			dead := l.deaths()
			l.Loss = loss
			l.Run(10 * time.Minute)
			require.Empty(t, first(*dead))
		})
	}
}

// Guards against a slow host being held for dead, and against a slow host holding others for dead.
func TestSlowHostIsNotDead(t *testing.T) {
	// A host with the shorter lag still gets its answers before it has to judge.
	for lag, misses := range map[time.Duration]bool{500 * time.Millisecond: false, time.Second: true, 1500 * time.Millisecond: true} {
		t.Run(lag.String(), func(t *testing.T) {
			l := group(t, 9)
			dead := l.deaths()
			slow := l.Hosts[4]
			slow.Lag = lag
			lengthened := l.RunUntil(5*time.Minute, func() bool { return slow.Detector.Health() > 0 })
			require.Equal(t, misses, lengthened, "a host that misses answers lengthens its timeouts")
			l.Run(10 * time.Minute)
			require.Empty(t, first(*dead))
			slow.Lag = 0
			l.Run(time.Minute)
			require.Zero(t, slow.Detector.Health())
			require.True(t, l.Settled())
		})
	}
}

// Guards against verdicts by a host that was paused and finds all its deadlines past.
func TestPausedHostJudgesNobody(t *testing.T) {
	l := group(t, 9)
	paused := l.Hosts[2]
	var byPaused []string
	l.Changed = func(at *Host, e membership.Effect) {
		if c, ok := e.(membership.Changed); ok && at == paused && c.Member.State == membership.Dead {
			byPaused = append(byPaused, string(c.Member.Host))
		}
	}
	paused.PausedUntil = l.Now.Add(time.Minute)
	l.Run(50 * time.Second)
	m, _ := l.Hosts[0].Detector.Member(paused.ID)
	require.Equal(t, membership.Dead, m.State)
	require.True(t, l.RunUntil(2*time.Minute, l.Settled))
	require.Empty(t, byPaused)
}

// Guards against a host cut off in one direction from a single other one being held for dead, and against the cut going
// unnoticed.
func TestOneWayCut(t *testing.T) {
	l := group(t, 9)
	dead := l.deaths()
	a, b := l.Hosts[1], l.Hosts[5]
	// Whichever of the two requests or answers is lost, a's probes of b fail and b's of a do too; only b's arrive at a.
	l.Cut = func(from, to *Host) bool { return from == a && to == b }
	path := func(at, of *Host) membership.Path {
		m, _ := at.Detector.Member(of.ID)
		return m.Path
	}
	require.True(t, l.RunUntil(2*time.Minute, func() bool {
		return path(a, b) == membership.PathOneWay && path(b, a) == membership.PathIndirect
	}))
	l.Run(5 * time.Minute)
	require.Empty(t, first(*dead))
	l.Cut = nil
	require.True(t, l.RunUntil(time.Minute, func() bool {
		return path(a, b) == membership.PathDirect && path(b, a) == membership.PathDirect
	}))
}

// Guards against hosts of two regions that lose only each other being held for dead while a third region sees both.
func TestRegionsThatLoseEachOther(t *testing.T) {
	l := group(t, 30)
	dead := l.deaths()
	l.Cut = func(from, to *Host) bool {
		a, b := from.Detector.Self().Place.Region, to.Detector.Self().Place.Region
		return a == "region-0" && b == "region-1" || a == "region-1" && b == "region-0"
	}
	l.Run(5 * time.Minute)
	require.Empty(t, first(*dead))
}

// Guards against a partition that outlasts its end because each side holds the other one for dead, and against false
// deaths within a side when the two sides exchange their records.
func TestPartitionHeals(t *testing.T) {
	for _, hosts := range []int{9, 60} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			l := group(t, hosts)
			side := func(h *Host) bool { return h.Detector.Self().Place.Region == "region-0" }
			l.Cut = func(from, to *Host) bool { return side(from) != side(to) }
			require.True(t, l.RunUntil(5*time.Minute, func() bool {
				for _, a := range l.Hosts {
					for _, b := range l.Hosts {
						if m, _ := a.Detector.Member(b.ID); a != b && (m.State == membership.Dead) != (side(a) != side(b)) {
							return false
						}
					}
				}
				return true
			}), "each side holds exactly the other one for dead")
			l.Cut = nil
			dead := l.deaths()
			start := l.Now
			require.True(t, l.RunUntil(5*time.Minute, l.Settled))
			t.Logf("converged %s after the partition ended", l.Now.Sub(start))
			l.Run(time.Minute)
			require.Empty(t, first(*dead))
			require.True(t, l.Settled())
		})
	}
}

// Guards against a restarted host being taken for its past life, or held for dead because of it.
func TestRestart(t *testing.T) {
	for name, c := range map[string]struct {
		down time.Duration
		life fleet.Incarnation
	}{
		"unnoticed, next life known":   {0, 2},
		"held for dead, next life":     {time.Minute, 2},
		"unnoticed, life not known":    {0, 0},
		"held for dead, life unknown":  {time.Minute, 0},
		"held for dead, same life":     {time.Minute, 1},
		"forgotten by all, next life ": {2 * time.Hour, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := group(t, 9)
			h := l.Hosts[4]
			h.Stopped = true
			l.Run(c.down)
			l.Start(h, place(4), c.life)
			require.True(t, l.RunUntil(time.Minute, func() bool { return l.Settled() && l.agree(h) }))
			if c.life > 1 {
				require.Equal(t, c.life, h.Detector.Self().Version.Life)
			}
			l.Run(time.Minute)
			require.True(t, l.Settled())
			h.Detector.SetLife(9)
			require.True(t, l.RunUntil(time.Minute, func() bool { return l.agree(h) }), "a life learnt later spreads")
		})
	}
}

// agree reports whether all hosts hold the version of a host that it holds itself.
func (l *Loop) agree(h *Host) bool {
	for _, o := range l.Hosts {
		if m, _ := o.Detector.Member(h.ID); o != h && m.Version != h.Detector.Self().Version {
			return false
		}
	}
	return true
}

// Guards against a host that leaves being probed, suspected and held for dead.
func TestLeave(t *testing.T) {
	l := group(t, 30)
	dead := l.deaths()
	h := l.Hosts[7]
	l.do(h, h.Detector.Leave(l.Now))
	l.Run(100 * time.Millisecond)
	h.Stopped = true
	require.True(t, l.RunUntil(30*time.Second, func() bool {
		for _, o := range l.Hosts {
			if m, _ := o.Detector.Member(h.ID); o != h && m.State != membership.Left {
				return false
			}
		}
		return true
	}))
	require.Empty(t, first(*dead))
	l.Start(h, place(7), 1)
	require.True(t, l.RunUntil(time.Minute, l.Settled), "a host that left may come back")
}
