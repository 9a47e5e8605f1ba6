package controlscenario

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	stdnet "net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/logbuffer"
	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/quota"
	"toucanway/core/raft"
	"toucanway/core/routes"
	"toucanway/io/controlapi"
	"toucanway/io/controller"
	"toucanway/io/disk"
	"toucanway/io/formation"
	"toucanway/io/hosts"
	"toucanway/io/metrics"
	"toucanway/io/network"
	"toucanway/io/voters"
)

const (
	port = 7400
	// handover is the time after a host's order to an engine in which no other host may send it one.
	handover = 3 * time.Second
	// checkInterval is the interval at which the number of leaders is checked.
	checkInterval    = 5 * time.Millisecond
	otherRegionDelay = 12 * time.Millisecond
	sameRegionDelay  = time.Millisecond
)

// versionParser parses configurations that consist of a version only.
type versionParser struct{}

// Configuration returns a configuration with the version and a fixed engine service.
func (versionParser) Configuration(data []byte) (*routes.Configuration, error) {
	var c struct{ Version routes.Version }
	if err := json.Unmarshal(data, &c); err != nil {
		return nil, err
	}
	return &routes.Configuration{Version: c.Version, Services: []routes.Service{{
		Name: service, Engine: &routes.Engine{Weights: 10, StoreRate: 10, Models: models},
	}}}, nil
}

// host is one machine of the control group. group and control are nil while its process does not run.
type host struct {
	name      string
	ip        fleet.HostID
	storage   *disk.Memory
	storageID raft.StorageID
	seeds     []fleet.HostID
	group     *formation.Group
	control   *controller.Controller
	metrics   *metrics.Registry
	stop      func() error
}

// simulation is the state of a running script.
type simulation struct {
	net           *memnet.Network
	hosts         []*host
	lastStorageID raft.StorageID
	log           logbuffer.Buffer
	// engines simulates the engines of the deployment.
	engines *engines
	// parser decodes configurations, quotaTolerance bounds by how much client accounts may exceed their quotas.
	parser         controller.Parser
	quotaTolerance quota.Tolerance

	mu sync.Mutex
	// acknowledged is the highest version whose submission was acknowledged.
	acknowledged routes.Version
	violations   []string
	cancel       context.CancelFunc
	checks       errgroup.Group
}

func delay(from, to netip.Addr) time.Duration {
	if from.As4()[1] == to.As4()[1] {
		return sameRegionDelay
	}
	return otherRegionDelay
}

func newSimulation() *simulation {
	w := &simulation{net: memnet.New(memnet.Settings{Delay: delay}), parser: versionParser{}}
	w.engines = &engines{w: w, states: map[fleet.BackendID]*engineState{}}
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.checks.Go(func() error {
		w.checkLeaders(ctx)
		return nil
	})
	return w
}

// checkLeaders records a violation whenever several hosts lead at the same time, until the context ends.
func (w *simulation) checkLeaders(ctx context.Context) {
	pause.Every(ctx, checkInterval, func() {
		w.mu.Lock()
		running := slices.Clone(w.hosts)
		w.mu.Unlock()
		var leading []string
		for _, h := range running {
			if g := w.groupOf(h); g != nil && g.Leading() {
				leading = append(leading, h.name)
			}
		}
		if len(leading) > 1 {
			w.addViolation("%v lead at the same time", leading)
		}
	})
}

func (w *simulation) groupOf(h *host) *formation.Group {
	w.mu.Lock()
	defer w.mu.Unlock()
	return h.group
}

func (w *simulation) addViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// add adds a host with an empty disk; its address follows from its number.
func (w *simulation) add(name string) *host {
	n := len(w.hosts) + 1
	w.lastStorageID++
	h := &host{name: name, ip: fleet.HostID(fmt.Sprintf("10.%d.1.%d", n%3+1, n)), storage: disk.NewMemory(w.lastStorageID), storageID: w.lastStorageID}
	w.net.Host(string(h.ip))
	w.mu.Lock()
	w.hosts = append(w.hosts, h)
	w.mu.Unlock()
	return h
}

func (w *simulation) host(name string) (*host, error) {
	for _, h := range w.hosts {
		if h.name == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host %s; add it with form or add first", name)
}

// leader returns the host that leads, nil if there is none.
func (w *simulation) leader() *host {
	for _, h := range w.hosts {
		if h.group != nil && h.group.Leading() {
			return h
		}
	}
	return nil
}

// start starts a process on a host.
func (w *simulation) start(h *host, bootstrap bool) error {
	if h.group != nil {
		return fmt.Errorf("host %s is already running", h.name)
	}
	net := w.net.Host(string(h.ip))
	client := hosts.NewClient(h.ip, net, nil)
	cfg := zap.NewProductionEncoderConfig()
	cfg.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewConsoleEncoder(cfg), zapcore.AddSync(&w.log), zapcore.InfoLevel)).Named(h.name)
	seeds := func() []fleet.HostID { return h.seeds }
	group := formation.New(formation.Settings{
		Self: h.ip, Port: port, Seeds: seeds, Bootstrap: bootstrap, ToleratedLosses: 1,
		Open:    func() (voters.Storage, error) { return h.storage, nil },
		Machine: func() raft.StateMachine { return &catalog.Machine{} },
		Client:  client, Now: time.Now, Log: log,
	})
	controlHosts := func() []fleet.HostID { return slices.Concat(group.Status().Voters, h.seeds) }
	h.metrics = metrics.New(metrics.Options{})
	control := controller.New(controller.Settings{
		Self: h.ip, ControlAddress: string(h.ip) + ":80", Group: group, Client: controlapi.NewClient(client, port, controlHosts), Parser: w.parser,
		Engines: w.engines, Log: log, Metrics: h.metrics, Now: time.Now,
		OrderHandover: handover, AddressLifetime: time.Second, QuotaTolerance: w.quotaTolerance,
	})
	srv := &hosts.Server{}
	group.Register(srv)
	control.Register(srv)
	l, err := net.Listen(formation.Address(h.ip, port))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var eg errgroup.Group
	eg.Go(func() error { return srv.Run(ctx, l) })
	eg.Go(func() error { return group.Run(ctx) })
	eg.Go(func() error { return control.Run(ctx) })
	w.mu.Lock()
	h.group, h.control = group, control
	w.mu.Unlock()
	h.stop = func() error {
		w.mu.Lock()
		h.group, h.control = nil, nil
		w.mu.Unlock()
		// The connections are closed first, as when a process is killed.
		net.Close()
		cancel()
		err := eg.Wait()
		client.Close()
		if errors.Is(err, stdnet.ErrClosed) {
			// The listener was closed before the server's context ended.
			return nil
		}
		return err
	}
	return nil
}

func (w *simulation) kill(h *host) error {
	if h.group == nil {
		return fmt.Errorf("host %s is not running", h.name)
	}
	return h.stop()
}

// wipe empties the disk of a host that is not running.
func (w *simulation) wipe(h *host) {
	w.lastStorageID++
	h.storage, h.storageID = disk.NewMemory(w.lastStorageID), w.lastStorageID
}

// submit sends a version to a host, and records it if it is acknowledged.
func (w *simulation) submit(h *host, v routes.Version) error {
	c := h.control
	if c == nil {
		return fmt.Errorf("host %s is not running", h.name)
	}
	if err := c.Replace(context.Background(), fmt.Appendf(nil, `{"version":%d}`, v)); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acknowledged = max(w.acknowledged, v)
	return nil
}

// read reads the configuration from a host. It records a violation if a newer one was acknowledged before the call.
func (w *simulation) read(h *host) (routes.Version, error) {
	c := h.control
	if c == nil {
		return 0, fmt.Errorf("host %s is not running", h.name)
	}
	w.mu.Lock()
	minVersion := w.acknowledged
	w.mu.Unlock()
	data, err := c.Read(context.Background())
	if err != nil {
		return 0, err
	}
	cfg, err := versionParser{}.Configuration(data)
	if err != nil {
		return 0, err
	}
	if cfg.Version < minVersion {
		w.addViolation("%s returned version %d after version %d was acknowledged", h.name, cfg.Version, minVersion)
	}
	return cfg.Version, nil
}

// close ends the script and returns the violations.
func (w *simulation) close() ([]string, error) {
	var err error
	for _, h := range w.hosts {
		if h.group != nil {
			if e := h.stop(); err == nil {
				err = e
			}
		}
	}
	w.cancel()
	if e := w.checks.Wait(); err == nil {
		err = e
	}
	// The HTTP library continues dials that no call waits for any more, for at most DialTimeout.
	time.Sleep(network.DialTimeout)
	return w.violations, err
}
