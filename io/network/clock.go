package network

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that goes on while the host is suspended, which time.Now does not. Its times must be compared
// with each other only.
type Clock struct {
	start time.Time
	since time.Duration
}

// NewClock returns a clock that agrees with time.Now at present.
func NewClock() *Clock { return &Clock{start: time.Now(), since: sinceBoot()} }

// Now returns the present time.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.since) }

// sinceBoot returns the time since the host started, suspensions included, or the zero duration where the system can't tell.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
