package network

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock is a monotonic clock that, unlike that of time.Now, continues to run while the host is suspended. Its times must be
// compared only with each other.
type Clock struct {
	start          time.Time
	startSinceBoot time.Duration
}

// NewClock returns a clock that starts at the current time of time.Now.
func NewClock() *Clock { return &Clock{start: time.Now(), startSinceBoot: sinceBoot()} }

// Now returns the current time.
func (c *Clock) Now() time.Time { return c.start.Add(sinceBoot() - c.startSinceBoot) }

// sinceBoot returns the time since the host booted, including suspensions, or 0 if the system doesn't provide it.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
