package fanout

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"toucanway/core/fleet"
)

// Mirror is a member of the control group that tells entry hosts what the leader has told it.
type Mirror struct {
	Host   fleet.HostID `cbor:"1,keyasint"`
	Region fleet.Region `cbor:"2,keyasint"`
}

// failurePause is the time for which a host doesn't ask a mirror that has failed to answer, while others answer.
const failurePause = 6 * time.Second

// Chooser chooses the mirror that a host asks; the zero value is ready to use. It is not safe for concurrent use.
type Chooser struct {
	mirrors []Mirror
	// askAfter holds the mirrors that have failed to answer and the end of their pause.
	askAfter map[fleet.HostID]time.Time
	// failed holds the mirrors that have failed since one has answered or the leader was asked. None of them is asked again until then,
	// however long the others take to fail.
	failed map[fleet.HostID]bool
}

// SetMirrors replaces the list of mirrors. The leader lists only those that follow it, so that earlier failures no longer count.
func (c *Chooser) SetMirrors(list []Mirror) {
	c.mirrors = list
	clear(c.askAfter)
	clear(c.failed)
}

// Choose returns the mirror that a host in a region should ask now: one of its own region before others, and the same one each time
// while it answers. It returns "" if none can be asked, so that the leader is the next to ask.
func (c *Chooser) Choose(now time.Time, self fleet.HostID, region fleet.Region) fleet.HostID {
	var best Mirror
	var bestRank uint64
	for _, m := range c.mirrors {
		if c.failed[m.Host] || now.Before(c.askAfter[m.Host]) {
			continue
		}
		near, bestNear := m.Region == region, best.Region == region
		r := rank(self, m.Host)
		if best.Host == "" || near && !bestNear || near == bestNear && r > bestRank {
			best, bestRank = m, r
		}
	}
	if best.Host == "" {
		clear(c.failed)
	}
	return best.Host
}

// Answered records that a mirror has answered.
func (c *Chooser) Answered() { clear(c.failed) }

// Fail records that a mirror has failed to answer.
func (c *Chooser) Fail(now time.Time, host fleet.HostID) {
	if c.askAfter == nil {
		c.askAfter, c.failed = map[fleet.HostID]time.Time{}, map[fleet.HostID]bool{}
	}
	for h, t := range c.askAfter {
		if !now.Before(t) {
			delete(c.askAfter, h)
		}
	}
	c.askAfter[host], c.failed[host] = now.Add(failurePause), true
}

// rank orders the mirrors for a host, so that hosts spread evenly and the loss of a mirror moves only its own.
func rank(self, mirror fleet.HostID) uint64 {
	return xxhash.Sum64String(string(self) + "\x00" + string(mirror))
}
