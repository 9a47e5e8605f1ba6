package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"toucanway/core/fleet"
)

// Guards against messages of any content, order or timing that make the member table exceed its bound, make its digest wrong
// or decrease the version of a host's own record.
func TestArbitraryMessagesKeepBounds(t *testing.T) {
	const maxMembers = 6
	rapid.Check(t, func(t *rapid.T) {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		d := New(now, Settings{
			Host: "h0", Address: "a0", Seeds: []string{"a0", "a1"}, MaxMembers: maxMembers,
			Rand: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
		})
		host := rapid.Custom(func(t *rapid.T) fleet.HostID {
			return fleet.HostID(fmt.Sprintf("h%d", rapid.IntRange(0, 9).Draw(t, "host")))
		})
		version := rapid.Custom(func(t *rapid.T) Version {
			return Version{Incarnation: fleet.Incarnation(rapid.IntRange(0, 2).Draw(t, "incarnation")), Refutations: uint32(rapid.IntRange(0, 3).Draw(t, "refutations"))}
		})
		update := rapid.Custom(func(t *rapid.T) Update {
			return Update{
				Host: host.Draw(t, "of"), Version: version.Draw(t, "version"), State: State(rapid.IntRange(0, 4).Draw(t, "state")),
				ReportedBy: host.Draw(t, "by"), Address: rapid.SampledFrom([]string{"", "a1", "a2"}).Draw(t, "address"),
			}
		})
		var openCalls []uint64
		checkEffects := func(effects []Effect) {
			for _, e := range effects {
				if s, ok := e.(Send); ok {
					openCalls = append(openCalls, s.Call)
					require.LessOrEqual(t, len(s.Message.Updates), maxRecords)
				}
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			own := d.Self().Version
			msg := Message{
				Kind: Kind(rapid.IntRange(0, 7).Draw(t, "kind")), From: host.Draw(t, "from"), Version: version.Draw(t, "version"),
				Target: host.Draw(t, "target"), Updates: rapid.SliceOfN(update, 0, 4).Draw(t, "updates"),
				Buckets: rapid.SliceOfN(rapid.Byte(), 0, 33).Draw(t, "buckets"), Leaving: rapid.Bool().Draw(t, "leaving"),
			}
			switch n := rapid.IntRange(0, 3).Draw(t, "step"); {
			case n == 0:
				checkEffects(d.Receive(now, uint64(i), msg))
			case n == 1 && len(openCalls) > 0:
				checkEffects(d.Answer(now, openCalls[0], msg))
				openCalls = openCalls[1:]
			case n == 2 && len(openCalls) > 0:
				checkEffects(d.Failed(now, openCalls[0]))
				openCalls = openCalls[1:]
			default:
				checkEffects(d.Tick(now))
				require.True(t, d.NextTick().After(now), "nothing is due right after a tick")
			}
			require.GreaterOrEqual(t, d.Self().Version.Compare(own), 0)
			require.LessOrEqual(t, len(d.table.all), maxMembers)
			require.LessOrEqual(t, len(d.gossip.queue), maxMembers+1)
			require.LessOrEqual(t, len(d.probes), maxHealth+1)
			require.LessOrEqual(t, len(d.probeOrder), maxMembers+1)
			live, digest, suspects := 0, uint32(0), 0
			for _, m := range d.table.all {
				if !m.State.gone() {
					live++
					digest += hashMember(m.Host, m.Version)
				}
				if m.State == Suspect {
					suspects++
				}
			}
			require.Equal(t, live, d.table.live)
			require.Equal(t, digest, d.table.digest)
			require.Len(t, d.suspects, suspects)
		}
	})
}
