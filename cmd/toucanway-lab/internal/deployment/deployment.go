package deployment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/engine"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/service"
	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/disk"
	"toucanway/io/entry"
	"toucanway/io/network"
	"toucanway/io/operators"
	"toucanway/io/settings"
	"toucanway/io/voters"
)

// Ports of an entry host.
const (
	PortCallers   = 7400
	PortHosts     = 7401
	PortOperators = 7402
)

// drainBound is the longest time for which a host drains. It exceeds the duration of any request of the lab.
const drainBound = time.Minute

// OperatorToken is the bearer token of the operator who submits the first document.
const OperatorToken = "lab-operator-token"

// Host describes an entry host.
type Host struct {
	ID    fleet.HostID
	IP    string
	Place fleet.Place
	Voter bool
}

// Settings describe a deployment.
type Settings struct {
	Hosts []Host
	// Network returns the network of an IP address.
	Network func(ip string) network.Network
	// Storage returns the storage of a voter's group; nil means storage in memory, which survives a restart of the host.
	Storage func(host fleet.HostID, group raft.GroupID) (voters.Storage, error)
	Engines []engine.Settings
	// Services are the stand-ins of plain services.
	Services []service.Settings
	// Policies are the policies of the entry hosts.
	Policies entry.Policies
	// LedgerGroups is the number of ledger groups; zero means one.
	LedgerGroups int
	// FirstOperator may submit the first document; the zero value means the operator lab with OperatorToken.
	FirstOperator settings.FirstOperator
	// Log receives the hosts' log lines; nil discards them.
	Log     io.Writer
	Seed    uint64
	History *history.History
}

// Deployment is a running deployment.
type Deployment struct {
	Settings Settings
	Engines  map[fleet.BackendID]*engine.Engine
	Services map[fleet.BackendID]*service.Service

	mu          sync.Mutex
	hosts       map[fleet.HostID]*runningHost
	memoryDisks map[storageKey]*disk.Memory
	startCount  uint64
	diskCount   uint64
	observer    observer
}

// storageKey identifies the storage of a group at a host.
type storageKey struct {
	host  fleet.HostID
	group raft.GroupID
}

// runningHost is an entry host from a start to its end.
type runningHost struct {
	host  *entry.Host
	drain context.CancelFunc
	kill  context.CancelFunc
	group *errgroup.Group
	// done gets the result of the host's Run.
	done   chan error
	killed bool
}

// Start starts all hosts and stand-ins. It does not wait for the first election and the registration of the backend servers,
// which take some seconds.
func Start(s Settings) (*Deployment, error) {
	d := &Deployment{
		Settings: s, Engines: map[fleet.BackendID]*engine.Engine{}, Services: map[fleet.BackendID]*service.Service{},
		hosts: map[fleet.HostID]*runningHost{}, memoryDisks: map[storageKey]*disk.Memory{},
		observer: observer{history: s.History},
	}
	if s.Log != nil {
		// The hosts have separate loggers, which write to the same writer concurrently.
		d.Settings.Log = zapcore.Lock(zapcore.AddSync(s.Log))
	}
	for _, h := range s.Hosts {
		if err := d.StartHost(h.ID); err != nil {
			return d, err
		}
	}
	for _, e := range s.Engines {
		newEngine := engine.New(e)
		d.Engines[e.ID] = newEngine
		if err := newEngine.Start(); err != nil {
			return d, err
		}
	}
	for _, v := range s.Services {
		newService := service.New(v)
		d.Services[v.ID] = newService
		if err := newService.Start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

func (d *Deployment) host(id fleet.HostID) (Host, bool) {
	for _, h := range d.Settings.Hosts {
		if h.ID == id {
			return h, true
		}
	}
	return Host{}, false
}

// StartHost starts a host that is not running.
func (d *Deployment) StartHost(id fleet.HostID) error {
	spec, ok := d.host(id)
	if !ok {
		return fmt.Errorf("no host %s in the deployment", id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts[id] != nil {
		return fmt.Errorf("host %s is running", id)
	}
	d.startCount++
	cfg := d.hostSettings(spec)
	h, err := entry.New(entry.Settings{
		Settings: cfg, Network: d.Settings.Network(spec.IP), Loggers: settings.NewLoggers(cfg, d.log()),
		Seed: d.Settings.Seed + d.startCount, Policies: d.Settings.Policies,
		Storage: func(g raft.GroupID) (voters.Storage, error) { return d.storage(id, g) },
	})
	if err != nil {
		return err
	}
	ctx, drain := context.WithCancel(context.Background())
	stop, kill := context.WithCancel(context.Background())
	r := &runningHost{host: h, drain: drain, kill: kill, group: &errgroup.Group{}, done: make(chan error, 1)}
	r.group.Go(func() error {
		r.done <- h.Run(ctx, stop)
		return nil
	})
	if d.Settings.History != nil {
		r.group.Go(func() error {
			d.observer.follow(stop, id, h.Follower())
			return nil
		})
	}
	d.hosts[id] = r
	return nil
}

func (d *Deployment) log() io.Writer {
	if d.Settings.Log != nil {
		return d.Settings.Log
	}
	return io.Discard
}

// storage returns the storage of a group at a host; storage in memory is kept for the host's next start.
func (d *Deployment) storage(id fleet.HostID, g raft.GroupID) (voters.Storage, error) {
	if d.Settings.Storage != nil {
		return d.Settings.Storage(id, g)
	}
	k := storageKey{id, g}
	m := d.memoryDisks[k]
	if m == nil {
		d.diskCount++
		m = disk.NewMemory(raft.StorageID(d.Settings.Seed<<16 + d.diskCount))
		d.memoryDisks[k] = m
	}
	return m, nil
}

// hostSettings returns the settings of an entry host.
func (d *Deployment) hostSettings(h Host) *settings.Settings {
	addressOf := func(ip string, port uint16) settings.Address {
		return settings.Address(netip.AddrPortFrom(netip.MustParseAddr(ip), port).String())
	}
	s := &settings.Settings{
		ID: h.ID, Region: h.Place.Region, DataCentre: h.Place.DataCentre, Rack: h.Place.Rack,
		Listen: settings.Listen{
			Callers: addressOf(h.IP, PortCallers), Hosts: addressOf(h.IP, PortHosts), Operators: addressOf(h.IP, PortOperators),
		},
		LedgerGroups:  max(d.Settings.LedgerGroups, 1),
		DrainBound:    drainBound,
		FirstOperator: d.Settings.FirstOperator,
	}
	if s.FirstOperator.ID == "" {
		s.FirstOperator = settings.FirstOperator{ID: "lab", Credential: config.HashToken("", OperatorToken)}
	}
	for _, v := range d.Settings.Hosts {
		if v.Voter {
			s.Voters = append(s.Voters, settings.Voter{ID: v.ID, Address: addressOf(v.IP, PortHosts)})
		}
	}
	return s
}

// StopHost drains a host and waits for its end.
func (d *Deployment) StopHost(id fleet.HostID) error {
	d.Settings.History.Add(history.ShutdownBegan{Host: id})
	err := d.endHost(id, func(r *runningHost) { r.drain() })
	d.Settings.History.Add(history.ShutdownEnded{Host: id})
	return err
}

// KillHost ends a host without a shutdown, as a crash does: its connections break and no other host is notified.
func (d *Deployment) KillHost(id fleet.HostID) error {
	d.Settings.History.Add(history.HostStopped{Host: id})
	return d.endHost(id, func(r *runningHost) {
		r.killed = true
		r.kill()
	})
}

// endHost calls stop, which makes a host end, and waits for its end.
func (d *Deployment) endHost(id fleet.HostID, stop func(*runningHost)) error {
	d.mu.Lock()
	r := d.hosts[id]
	delete(d.hosts, id)
	d.mu.Unlock()
	if r == nil {
		return fmt.Errorf("host %s is not running", id)
	}
	stop(r)
	err := <-r.done
	r.kill()
	r.drain()
	err = errors.Join(err, r.group.Wait())
	if r.killed {
		// Errors from the parts of a killed host are not errors of the deployment.
		return nil
	}
	return err
}

// LoseDisk empties the disk of a host that is not running.
func (d *Deployment) LoseDisk(id fleet.HostID) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts[id] != nil {
		return fmt.Errorf("host %s is running", id)
	}
	for k := range d.memoryDisks {
		if k.host == id {
			delete(d.memoryDisks, k)
		}
	}
	return nil
}

// RunningHosts returns the hosts that run, in the order of the settings.
func (d *Deployment) RunningHosts() []Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Host
	for _, h := range d.Settings.Hosts {
		if d.hosts[h.ID] != nil {
			out = append(out, h)
		}
	}
	return out
}

// CallerAddresses returns the callers' addresses of all hosts of the deployment.
func (d *Deployment) CallerAddresses() []string {
	out := make([]string, 0, len(d.Settings.Hosts))
	for _, h := range d.Settings.Hosts {
		out = append(out, CallerAddress(h))
	}
	return out
}

// CallerAddress returns the callers' address of a host.
func CallerAddress(h Host) string { return fmt.Sprintf("%s:%d", h.IP, PortCallers) }

// Operator returns a client of the operators' interface that dials from an IP address.
func (d *Deployment) Operator(ip string, token string) *operators.Client {
	var addresses []string
	for _, h := range d.Settings.Hosts {
		addresses = append(addresses, fmt.Sprintf("%s:%d", h.IP, PortOperators))
	}
	n := d.Settings.Network(ip)
	return operators.NewClient(operators.ClientSettings{Addresses: addresses, Token: token, Dial: n.Dial})
}

// ReadState calls f with a host's copy of the control state and reports whether the host runs.
func (d *Deployment) ReadState(id fleet.HostID, f func(*control.State)) bool {
	d.mu.Lock()
	r := d.hosts[id]
	d.mu.Unlock()
	if r == nil {
		return false
	}
	r.host.Follower().Read(f)
	return true
}

// Close kills the running hosts and closes the stand-ins.
func (d *Deployment) Close() error {
	var errs []error
	for _, h := range d.RunningHosts() {
		errs = append(errs, d.KillHost(h.ID))
	}
	for _, e := range d.Engines {
		errs = append(errs, e.Close())
	}
	for _, s := range d.Services {
		errs = append(errs, s.Close())
	}
	return errors.Join(errs...)
}

// HostID returns the host with a callers' address, or the address itself if no host has it.
func (d *Deployment) HostID(address string) fleet.HostID {
	for _, h := range d.Settings.Hosts {
		if CallerAddress(h) == address {
			return h.ID
		}
	}
	return fleet.HostID(address)
}

// HasLease reports whether a host has a valid session lease, and whether it is running.
func (d *Deployment) HasLease(id fleet.HostID, now time.Time) (valid, runs bool) {
	d.mu.Lock()
	r := d.hosts[id]
	d.mu.Unlock()
	if r == nil {
		return false, false
	}
	return r.host.Follower().HasLease(now), true
}
