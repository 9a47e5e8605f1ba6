package controlscenario

import (
	"fmt"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/registry"
	"toucanway/core/routes"
)

// Guards against controllers that refuse changes for good after the disk of each of them was full for a while, one after the other, although
// all disks have room again, and against changes or departures that are lost with it.
func TestChangesAfterFullDisksInTurn(t *testing.T) {
	for _, n := range []int{3, 5, 9} {
		for _, full := range []time.Duration{time.Second, 5 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint("controllers ", n, ", full for ", full), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startControllersOf(t, n)
					defer closeAndCheck(t, w)
					version := routes.Version(1)
					// submitSoon submits a version until it is acknowledged, which may take as long as an election.
					submitSoon := func() {
						version++
						require.Eventually(t, func() bool {
							for _, h := range w.hosts {
								if w.submit(h, version) == nil {
									return true
								}
							}
							return false
						}, 5*time.Second, 100*time.Millisecond, "version %d", version)
					}
					sendHeartbeat(t, w, heartbeat("a", 5, 1, "10.0.0.1:80"))
					for round := range 2 {
						for i, h := range w.hosts {
							if round == 1 && i == n-2 {
								// A departure stays on record for a minute.
								leave(t, w, "a", 5)
							}
							h.storage.Fail(syscall.ENOSPC)
							submitSoon()
							time.Sleep(full)
							submitSoon()
							h.storage.Fail(nil)
							time.Sleep(time.Second)
							submitSoon()
						}
					}
					time.Sleep(12 * time.Second)
					for _, h := range w.hosts {
						v, err := w.read(h)
						require.NoError(t, err)
						require.Equal(t, version, v)
						require.Len(t, h.group.Status().Voters, n, "all are members again")
					}
					sendHeartbeat(t, w, heartbeat("a", 5, 2, "10.0.0.1:80"))
					require.Equal(t, registry.Gone, readRegistry(t, w)["a"].State)
				})
			})
		}
	}
}
