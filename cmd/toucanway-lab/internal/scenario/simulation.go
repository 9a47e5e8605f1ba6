package scenario

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/checker"
	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/engine"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/logbuffer"
	"toucanway/cmd/toucanway-lab/internal/memnet"
	"toucanway/cmd/toucanway-lab/internal/service"
	"toucanway/cmd/toucanway-lab/internal/store"
	"toucanway/core/fleet"
	"toucanway/io/network"
)

// One-way delays between hosts of one region, hosts of two regions, and callers and hosts, as in current deployments.
const (
	sameRegionDelay  = time.Millisecond
	otherRegionDelay = 12 * time.Millisecond
	callerDelay      = time.Millisecond
)

// IP addresses: 10.REGION.KIND.NUMBER.
const (
	kindHost     = 1
	kindEngine   = 2
	kindService  = 3
	kindCaller   = 4
	kindOperator = 5
)

// workerIdleTime is the longest time until fasthttp's idle workers end.
const workerIdleTime = time.Minute

// deploymentSpec describes the deployment of a scenario by the numbers and settings of its parts.
type deploymentSpec struct {
	hosts, voters, regions, engines, services int
	models                                    int
	checksFence, refuseOvercommit             bool
	slots                                     int
	memory                                    fleet.Bytes
	seed                                      uint64
}

// simulation is the state of a running scenario.
type simulation struct {
	net     *memnet.Network
	d       *deployment.Deployment
	history *history.History
	log     logbuffer.Buffer
	spec    deploymentSpec
	weights *store.Store
	ctx     context.Context
	cancel  context.CancelFunc
	calls   errgroup.Group

	mu       sync.Mutex
	outcomes map[string]*outcome
	callers  map[string]*caller.Client
	version  fleet.DocumentVersion
}

// outcome holds the result of one named request; done is closed once the result is set.
type outcome struct {
	done   chan struct{}
	result caller.Outcome
}

func address(region, kind, n int) string { return fmt.Sprintf("10.%d.%d.%d", region, kind, n) }

// delay returns the one-way delay between two addresses.
func delay(from, to netip.Addr) time.Duration {
	a, b := from.As4(), to.As4()
	d := sameRegionDelay
	if a[2] == kindCaller || b[2] == kindCaller {
		d = callerDelay
	}
	if a[1] != b[1] {
		d = otherRegionDelay
	}
	return d
}

func newSimulation(s deploymentSpec) (*simulation, error) {
	w := &simulation{
		net: memnet.New(memnet.Settings{Delay: delay}), history: history.New(), spec: s,
		outcomes: map[string]*outcome{}, callers: map[string]*caller.Client{},
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	var err error
	w.d, err = deployment.Start(w.settings())
	return w, err
}

// region returns the region of the n-th host, engine or service; those of each kind are spread evenly over the regions.
func (s deploymentSpec) region(n int) int { return (n-1)%s.regions + 1 }

func place(region int) fleet.Place {
	return fleet.Place{
		Region: fleet.Region(fmt.Sprintf("r%d", region)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", region)),
	}
}

func (w *simulation) settings() deployment.Settings {
	s := deployment.Settings{
		Network: func(ip string) network.Network { return w.net.Host(ip) }, Seed: w.spec.seed, Log: &w.log, History: w.history,
		LedgerGroups: 2,
	}
	var entries []string
	for i := 1; i <= w.spec.hosts; i++ {
		r := w.spec.region(i)
		h := deployment.Host{
			ID: fleet.HostID(fmt.Sprintf("h%d", i)), IP: address(r, kindHost, i), Place: place(r), Voter: i <= w.spec.voters,
		}
		s.Hosts = append(s.Hosts, h)
		entries = append(entries, deployment.CallerAddress(h))
	}
	w.weights = store.New(store.Settings{})
	for i := 1; i <= w.spec.engines; i++ {
		r := w.spec.region(i)
		ip := address(r, kindEngine, i)
		s.Engines = append(s.Engines, engine.Settings{
			ID: fleet.BackendID(fmt.Sprintf("e%d", i)), Network: w.net.Host(ip), Address: ip + ":8000", Place: place(r),
			Entries: entries, ChecksFence: w.spec.checksFence, RefuseOvercommit: w.spec.refuseOvercommit, Slots: w.spec.slots,
			Memory: w.spec.memory, Store: w.weights, Seed: w.spec.seed + uint64(i), History: w.history,
		})
	}
	for i := 1; i <= w.spec.services; i++ {
		r := w.spec.region(i)
		ip := address(r, kindService, i)
		s.Services = append(s.Services, service.Settings{
			ID: fleet.BackendID(fmt.Sprintf("s%d", i)), Network: w.net.Host(ip), Address: ip + ":8000", Place: place(r),
			Entries: entries, Services: []fleet.ServiceID{"orders"}, History: w.history,
		})
	}
	return s
}

// hostByName returns a host of the deployment by its name.
func (w *simulation) hostByName(name string) (deployment.Host, error) {
	for _, h := range w.d.Settings.Hosts {
		if string(h.ID) == name {
			return h, nil
		}
	}
	return deployment.Host{}, fmt.Errorf("no host %s in the deployment", name)
}

// ipByName returns the address of a host, engine or service by its name.
func (w *simulation) ipByName(name string) (string, error) {
	if h, err := w.hostByName(name); err == nil {
		return h.IP, nil
	}
	for _, e := range w.d.Settings.Engines {
		if string(e.ID) == name {
			return strings.TrimSuffix(e.Address, ":8000"), nil
		}
	}
	for _, s := range w.d.Settings.Services {
		if string(s.ID) == name {
			return strings.TrimSuffix(s.Address, ":8000"), nil
		}
	}
	return "", fmt.Errorf("no host or backend server %s in the deployment", name)
}

// caller returns the client for a class of callers; if a host is named, the client sends only to that host.
func (w *simulation) caller(class, host string) (*caller.Client, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	k := class + "@" + host
	if c := w.callers[k]; c != nil {
		return c, nil
	}
	s := caller.Settings{
		Network: w.net.Host(address(1, kindCaller, len(w.callers)+1)), Hosts: w.d.CallerAddresses(),
		Credential: deployment.CallerToken(class), Seed: w.spec.seed, History: w.history, HostID: w.d.HostID,
	}
	if host != "" {
		h, err := w.hostByName(host)
		if err != nil {
			return nil, err
		}
		s.Hosts, s.KnownHostsOnly = []string{deployment.CallerAddress(h)}, true
	}
	c := caller.New(s)
	w.callers[k] = c
	return c, nil
}

// start sends a request in the background and records its outcome under a name.
func (w *simulation) start(name string, c *caller.Client, r *caller.Request) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.outcomes[name] != nil {
		return fmt.Errorf("request %s was sent before; give each its own name", name)
	}
	o := &outcome{done: make(chan struct{})}
	w.outcomes[name] = o
	w.calls.Go(func() error {
		o.result = c.Do(w.ctx, r)
		close(o.done)
		return nil
	})
	return nil
}

// result waits for the end of a named request.
func (w *simulation) result(name string) (caller.Outcome, error) {
	w.mu.Lock()
	o := w.outcomes[name]
	w.mu.Unlock()
	if o == nil {
		return caller.Outcome{}, fmt.Errorf("no request %s was sent", name)
	}
	<-o.done
	return o.result, nil
}

// close ends the scenario and returns the violations of the invariants.
func (w *simulation) close() (string, error) {
	for _, o := range w.outcomes {
		<-o.done
	}
	violations := checker.Check(checker.Settings{DeadlineTolerance: 2 * (callerDelay + otherRegionDelay)}, w.history.Records())
	w.cancel()
	err := w.calls.Wait()
	for _, c := range w.callers {
		c.Close()
	}
	if cerr := w.d.Close(); err == nil {
		err = cerr
	}
	time.Sleep(workerIdleTime)
	return checker.Report(violations), err
}
