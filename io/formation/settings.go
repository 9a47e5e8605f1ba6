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

// ErrClosed reports that this host takes no part in the group at present.
var ErrClosed = Errors.NewType("closed")

// Defaults of Settings.
const (
	DefaultJoinInterval   = 400 * time.Millisecond
	DefaultReopenInterval = 500 * time.Millisecond
	DefaultRemoveAfter    = 6 * time.Second
	DefaultMaxVoters      = 9
	// joinTimeout bounds a join, in which the host receives the state and catches up.
	joinTimeout = 10 * time.Second
	// startDelay is how much longer the other hosts wait for a leader after a start.
	startDelay = 250 * time.Millisecond
	// leaderless is the time without a leader after which a host asks whether it is still a member.
	leaderless = 2 * time.Second
)

// Settings configure a Group; zero durations and bounds mean the defaults.
type Settings struct {
	// Self is the host's IP address.
	Self fleet.HostID
	// Port is the port for hosts, the same on every host.
	Port uint16
	// Seeds returns the IP addresses of a few hosts of the group, some of which may be gone.
	Seeds func() []fleet.HostID
	// Bootstrap says that the deployment starts for the first time, with empty disks everywhere.
	Bootstrap bool
	// Tolerated is the number of voters that may be lost at once; so many and one more must be left of any removal.
	Tolerated int
	// Open opens the storage; it is called again after the storage has failed.
	Open func() (voters.Storage, error)
	// First says whether this host should lead when all hosts start at once, nil for no preference. It is asked at each opening.
	First func() bool
	// Machine returns a new state machine, to be filled from the storage.
	Machine func() raft.StateMachine
	Client  *hosts.Client
	// Raft holds the timing; the group fills in the rest.
	Raft raft.Settings
	// Now must count the time in which the host was suspended.
	Now func() time.Time
	Log *zap.Logger

	JoinInterval, ReopenInterval, RemoveAfter time.Duration
	// MaxVoters bounds the voters; further hosts stay learners.
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

// Address returns the address of a host for other hosts.
func (s *Settings) Address(h fleet.HostID) string { return Address(h, s.Port) }

// Address returns the address for hosts of the host with an IP address as its id.
func Address(h fleet.HostID, port uint16) string {
	return string(h) + ":" + strconv.Itoa(int(port))
}

// HostOf returns the id of the host at an address IP:PORT; empty if it is none.
func HostOf(address string) fleet.HostID {
	p, err := netip.ParseAddrPort(address)
	if err != nil {
		return ""
	}
	return fleet.HostID(p.Addr().String())
}
