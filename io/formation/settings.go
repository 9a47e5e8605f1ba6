package formation

import (
	"cmp"
	"net/netip"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/hosts"
	"toucanway/io/voters"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("formation")

// ErrClosed reports that the group is not open on this host at present.
var ErrClosed = Errors.NewType("closed")

// Defaults of Settings and fixed times.
const (
	DefaultJoinInterval   = 400 * time.Millisecond
	DefaultReopenInterval = 500 * time.Millisecond
	DefaultRemoveAfter    = 6 * time.Second
	DefaultMaxVoters      = 9
	// joinTimeout bounds a join, during which the host receives the state and catches up.
	joinTimeout = 10 * time.Second
	// otherHostsStartDelay is the additional time that hosts other than the preferred leader wait for a leader after a start.
	otherHostsStartDelay = 250 * time.Millisecond
	// leaderlessTimeout is the time without a leader after which a host asks to join again, in case it was removed.
	leaderlessTimeout = 2 * time.Second
)

// Settings configure a Group; zero durations and bounds mean the defaults.
type Settings struct {
	// Self is the host's IP address.
	Self fleet.HostID
	// Port is the port for hosts, the same on every host.
	Port uint16
	// Seeds returns the IP addresses of a few hosts of the group, some of which may be gone.
	Seeds func() []fleet.HostID
	// Bootstrap is set if the deployment starts for the first time, with empty disks on all hosts.
	Bootstrap bool
	// ToleratedLosses is the number of voters that may be lost at the same time; a removal must leave at least
	// 2*ToleratedLosses+1 voters.
	ToleratedLosses int
	// Open opens the storage; it is called again after the storage has failed.
	Open func() (voters.Storage, error)
	// PreferredLeader reports whether this host should lead when all hosts start at the same time; nil means no preference. It is
	// called at each opening.
	PreferredLeader func() bool
	// Machine returns a new state machine, which is then restored from the storage.
	Machine func() raft.StateMachine
	Client  *hosts.Client
	// Raft contains the timing; the group sets the other fields.
	Raft raft.Settings
	// Now must include the time for which the host was suspended.
	Now func() time.Time
	Log *zap.Logger

	JoinInterval, ReopenInterval, RemoveAfter time.Duration
	// MaxVoters bounds the number of voters; further hosts stay learners.
	MaxVoters int
}

func (s *Settings) setDefaults() {
	s.JoinInterval = cmp.Or(s.JoinInterval, DefaultJoinInterval)
	s.ReopenInterval = cmp.Or(s.ReopenInterval, DefaultReopenInterval)
	s.RemoveAfter = cmp.Or(s.RemoveAfter, DefaultRemoveAfter)
	s.MaxVoters = cmp.Or(s.MaxVoters, DefaultMaxVoters)
	s.Log = cmp.Or(s.Log, zap.NewNop())
	if s.Now == nil {
		s.Now = time.Now
	}
}

// Address returns the address of a host for calls from other hosts.
func (s *Settings) Address(h fleet.HostID) string { return Address(h, s.Port) }

// Address returns the address for calls from other hosts; the host's id is its IP address.
func Address(h fleet.HostID, port uint16) string {
	return string(h) + ":" + strconv.Itoa(int(port))
}

// HostOf returns the id of the host at an address IP:PORT, or "" if the address has another form.
func HostOf(address string) fleet.HostID {
	p, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return fleet.HostID(p.Addr().String())
}
