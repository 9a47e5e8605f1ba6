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

// startGroup starts hosts in three regions and runs the loop until all have found each other.
func startGroup(t testing.TB, hosts int) *Loop {
	t.Helper()
	t.Logf("seed %d", seed)
	l := NewLoop(seed)
	for i := range hosts {
		l.Add(place(i), 1)
	}
	require.True(t, l.RunUntil(2*time.Minute, l.Converged), "hosts find each other")
	l.Run(30 * time.Second)
	require.True(t, l.Converged())
	return l
}

func place(i int) fleet.Place {
	return fleet.Place{Region: fleet.Region(fmt.Sprintf("region-%d", i%3)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%6))}
}

// recordDeaths records each time that a host considers another one dead.
func (l *Loop) recordDeaths() *[]string {
	var out []string
	l.Changed = func(at *Host, e membership.Effect) {
		if c, ok := e.(membership.StateChanged); ok && c.Member.State == membership.Dead {
			out = append(out, fmt.Sprintf("%s considered %s dead at %s", at.ID, c.Member.Host, l.Now))
		}
	}
	return &out
}

// firstThree returns the first three deaths, to shorten the output of a failed check.
func firstThree(deaths []string) []string { return deaths[:min(len(deaths), 3)] }

// Guards against a failed host that is not detected, or is detected by some hosts only.
func TestFailureIsDetected(t *testing.T) {
	for _, hosts := range []int{2, 3, 9, 100} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			l := startGroup(t, hosts)
			l.Hosts[hosts-1].Stopped = true
			require.True(t, l.RunUntil(time.Minute, l.Converged))
		})
	}
}

// Guards against live hosts that are considered dead because messages are lost at random.
func TestLossCausesNoDeaths(t *testing.T) {
	for _, loss := range []float64{0.05, 0.15} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			l := startGroup(t, 30)
			dead := l.recordDeaths()
			l.Loss = loss
			l.Run(10 * time.Minute)
			require.Empty(t, firstThree(*dead))
		})
	}
}

// Guards against a slow host that is considered dead, and against a slow host that considers others dead.
func TestSlowHostIsNotDead(t *testing.T) {
	// With the shortest lag, the answers still arrive before the probe timeout.
	for lag, missesAnswers := range map[time.Duration]bool{500 * time.Millisecond: false, time.Second: true, 1500 * time.Millisecond: true} {
		t.Run(lag.String(), func(t *testing.T) {
			l := startGroup(t, 9)
			dead := l.recordDeaths()
			slow := l.Hosts[4]
			slow.Lag = lag
			lengthened := l.RunUntil(5*time.Minute, func() bool { return slow.Detector.Health() > 0 })
			require.Equal(t, missesAnswers, lengthened, "a host that misses answers lengthens its timeouts")
			l.Run(10 * time.Minute)
			require.Empty(t, firstThree(*dead))
			slow.Lag = 0
			l.Run(time.Minute)
			require.Zero(t, slow.Detector.Health())
			require.True(t, l.Converged())
		})
	}
}

// Guards against a host that was paused and then considers others dead because all its deadlines have passed.
func TestPausedHostReportsNoDeaths(t *testing.T) {
	l := startGroup(t, 9)
	paused := l.Hosts[2]
	var deathsReportedByPaused []string
	l.Changed = func(at *Host, e membership.Effect) {
		if c, ok := e.(membership.StateChanged); ok && at == paused && c.Member.State == membership.Dead {
			deathsReportedByPaused = append(deathsReportedByPaused, string(c.Member.Host))
		}
	}
	paused.PausedUntil = l.Now.Add(time.Minute)
	l.Run(50 * time.Second)
	m, _ := l.Hosts[0].Detector.Member(paused.ID)
	require.Equal(t, membership.Dead, m.State)
	require.True(t, l.RunUntil(2*time.Minute, l.Converged))
	require.Empty(t, deathsReportedByPaused)
}

// Guards against a host that is considered dead because it is cut off in one direction from a single other one, and against a
// cut that is not detected.
func TestOneWayCutCausesNoDeaths(t *testing.T) {
	l := startGroup(t, 9)
	dead := l.recordDeaths()
	a, b := l.Hosts[1], l.Hosts[5]
	// Since either the request or the answer is lost, the probes of a and b fail in both directions; only b's requests arrive.
	l.Cut = func(from, to *Host) bool { return from == a && to == b }
	path := func(at, of *Host) membership.Path {
		m, _ := at.Detector.Member(of.ID)
		return m.Path
	}
	require.True(t, l.RunUntil(2*time.Minute, func() bool {
		return path(a, b) == membership.PathOneWay && path(b, a) == membership.PathIndirect
	}))
	l.Run(5 * time.Minute)
	require.Empty(t, firstThree(*dead))
	l.Cut = nil
	require.True(t, l.RunUntil(time.Minute, func() bool {
		return path(a, b) == membership.PathDirect && path(b, a) == membership.PathDirect
	}))
}

// Guards against hosts of two regions that are considered dead because the regions are cut off from each other only, while a
// third region reaches both.
func TestCutBetweenTwoRegionsCausesNoDeaths(t *testing.T) {
	l := startGroup(t, 30)
	dead := l.recordDeaths()
	l.Cut = func(from, to *Host) bool {
		a, b := from.Detector.Self().Place.Region, to.Detector.Self().Place.Region
		return a == "region-0" && b == "region-1" || a == "region-1" && b == "region-0"
	}
	l.Run(5 * time.Minute)
	require.Empty(t, firstThree(*dead))
}

// Guards against hosts that still consider the other side dead after a partition has ended, and against live hosts that are
// considered dead by their own side when the two sides exchange their records.
func TestPartitionHeals(t *testing.T) {
	for _, hosts := range []int{9, 60} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			l := startGroup(t, hosts)
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
			}), "each side considers exactly the other one dead")
			l.Cut = nil
			dead := l.recordDeaths()
			start := l.Now
			require.True(t, l.RunUntil(5*time.Minute, l.Converged))
			t.Logf("converged %s after the partition ended", l.Now.Sub(start))
			l.Run(time.Minute)
			require.Empty(t, firstThree(*dead))
			require.True(t, l.Converged())
		})
	}
}

// Guards against a restarted host that is mistaken for its previous incarnation, or is considered dead because of it.
func TestRestartedHostIsAlive(t *testing.T) {
	for name, c := range map[string]struct {
		down        time.Duration
		incarnation fleet.Incarnation
	}{
		"not detected, next incarnation known": {0, 2},
		"considered dead, next incarnation":    {time.Minute, 2},
		"not detected, incarnation unknown":    {0, 0},
		"considered dead, incarnation unknown": {time.Minute, 0},
		"considered dead, same incarnation":    {time.Minute, 1},
		"removed by all, next incarnation":     {2 * time.Hour, 2},
	} {
		t.Run(name, func(t *testing.T) {
			l := startGroup(t, 9)
			h := l.Hosts[4]
			h.Stopped = true
			l.Run(c.down)
			l.Start(h, place(4), c.incarnation)
			require.True(t, l.RunUntil(time.Minute, func() bool { return l.Converged() && l.agreeOn(h) }))
			if c.incarnation > 1 {
				require.Equal(t, c.incarnation, h.Detector.Self().Version.Incarnation)
			}
			l.Run(time.Minute)
			require.True(t, l.Converged())
			h.Detector.SetIncarnation(9)
			require.True(t, l.RunUntil(time.Minute, func() bool { return l.agreeOn(h) }), "an incarnation that the host learns later spreads")
		})
	}
}

// agreeOn reports whether all hosts have the same version of a host as the host itself.
func (l *Loop) agreeOn(h *Host) bool {
	for _, o := range l.Hosts {
		if m, _ := o.Detector.Member(h.ID); o != h && m.Version != h.Detector.Self().Version {
			return false
		}
	}
	return true
}

// Guards against a host that leaves and is then suspected or considered dead.
func TestLeavingHostIsNotConsideredDead(t *testing.T) {
	l := startGroup(t, 30)
	dead := l.recordDeaths()
	h := l.Hosts[7]
	l.apply(h, h.Detector.Leave(l.Now))
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
	require.Empty(t, firstThree(*dead))
	l.Start(h, place(7), 1)
	require.True(t, l.RunUntil(time.Minute, l.Converged), "a host that left may come back")
}
