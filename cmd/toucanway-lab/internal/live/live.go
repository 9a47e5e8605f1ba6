package live

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/netip"
	"path/filepath"
	"time"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/engine"
	"toucanway/cmd/toucanway-lab/internal/examples"
	"toucanway/cmd/toucanway-lab/internal/history"
	"toucanway/cmd/toucanway-lab/internal/service"
	"toucanway/cmd/toucanway-lab/internal/store"
	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/core/raft"
	"toucanway/io/disk"
	"toucanway/io/entry"
	"toucanway/io/network"
	"toucanway/io/settings"
	"toucanway/io/voters"
)

// Sizes and one-way delays of the organisations' current deployments.
const (
	EnginesPerRegion    = 6
	ServiceServers      = 3
	DelayWithinRegion   = time.Millisecond
	DelayBetweenRegions = 12 * time.Millisecond
)

// Addresses are 127.NETWORK.REGION.N, where N starts at 1 for entry hosts and at these numbers for the others.
const (
	firstCaller   = 50
	firstOperator = 90
	firstEngine   = 100
	firstService  = 200
	backendPort   = 8000
)

// maxNetworks is the maximum number of loopback networks that are tried if another process uses that of the organisation.
const maxNetworks = 20

// Settings describe a live deployment.
type Settings struct {
	Organisation *examples.Organisation
	// Folder is where the voters store their files; if it is empty, they store in memory.
	Folder string
	// Transport replaces loopback TCP and its delays; tests set it.
	Transport func(ip string) network.Network
	// Policies are the policies of the entry hosts.
	Policies entry.Policies
	// Slots is the number of requests that an engine runs at once; zero means the engine's default.
	Slots   int
	Seed    uint64
	History *history.History
	Log     io.Writer
}

// Live is a running deployment of an organisation.
type Live struct {
	*deployment.Deployment
	Organisation *examples.Organisation
	// Network is nil if Settings.Transport is set.
	Network  *Network
	Store    *store.Store
	settings Settings
	// networkNumber is the second byte of the loopback addresses.
	networkNumber int
}

// Start starts the hosts and the stand-in backend servers of an organisation. It submits no configuration document.
func Start(s Settings) (*Live, error) {
	l := &Live{Organisation: s.Organisation, settings: s, networkNumber: s.Organisation.Network}
	if s.Transport == nil {
		n, err := freeNetwork(s.Organisation.Network)
		if err != nil {
			return nil, err
		}
		l.networkNumber, l.Network = n, NewNetwork(Delay)
		l.settings.Transport = l.Network.Host
	}
	declared, problems := config.Parse("document.yaml", s.Organisation.Document())
	if err := problems.Err(); err != nil {
		return nil, err
	}
	d, err := deployment.Start(l.deploymentSettings(declared))
	l.Deployment = d
	return l, err
}

// freeNetwork returns the number of the first loopback network, counted from first, on which the callers' port is free.
func freeNetwork(first int) (int, error) {
	var err error
	for n := first; n < first+maxNetworks; n++ {
		l, lerr := network.TCP{}.Listen(fmt.Sprintf("127.%d.1.1:%d", n, deployment.PortCallers))
		if lerr == nil {
			return n, l.Close()
		}
		err = lerr
	}
	return 0, fmt.Errorf("no free loopback network from 127.%d on; stop other runs first: %w", first, err)
}

// Delay returns the one-way delay between two addresses of a deployment, whose third byte is the region.
func Delay(from, to netip.Addr) time.Duration {
	switch {
	case from == to || !from.Is4() || !to.Is4():
		return 0
	case from.As4()[2] != to.As4()[2]:
		return DelayBetweenRegions
	default:
		return DelayWithinRegion
	}
}

func (l *Live) ip(region, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", l.networkNumber, region+1, n)
}

func (l *Live) place(region, n int) fleet.Place {
	r := l.Organisation.Regions[region]
	return fleet.Place{
		Region: fleet.Region(r.Name), DataCentre: fleet.DataCentre(r.DataCentres[n%len(r.DataCentres)]), Rack: "rack-1",
	}
}

func (l *Live) deploymentSettings(declared *config.Document) deployment.Settings {
	o, s := l.Organisation, l.settings
	first := o.Operators[0].ID
	out := deployment.Settings{
		Network: s.Transport, Seed: s.Seed, Log: s.Log, History: s.History, LedgerGroups: 2, Policies: s.Policies,
		FirstOperator: settings.FirstOperator{ID: fleet.OperatorID(first), Credential: config.HashToken("", o.Token(first))},
	}
	if s.Folder != "" {
		out.Storage = func(h fleet.HostID, g raft.GroupID) (voters.Storage, error) {
			return disk.Open(disk.Settings{Dir: filepath.Join(s.Folder, string(h), fmt.Sprintf("group-%d", g))})
		}
	}
	var entries []string
	for i, h := range o.Hosts() {
		region, n := i/examples.HostsPerRegion, i%examples.HostsPerRegion
		entryHost := deployment.Host{ID: fleet.HostID(h.ID), IP: l.ip(region, n+1), Place: l.place(region, n), Voter: h.Voter}
		out.Hosts = append(out.Hosts, entryHost)
		entries = append(entries, deployment.CallerAddress(entryHost))
	}
	l.Store = store.New(store.Settings{Rate: float64(o.LoadsPerSecond), MaxFullSpeedLoads: 4, MaxFullSpeedAdapterLoads: 30})
	models := engine.ModelsOf(declared)
	random := rand.New(rand.NewPCG(s.Seed, 3))
	for region, r := range o.Regions {
		for n := range EnginesPerRegion {
			ip := l.ip(region, firstEngine+n)
			out.Engines = append(out.Engines, engine.Settings{
				ID: fleet.BackendID(fmt.Sprintf("%s-engine-%d", r.Name, n+1)), Network: s.Transport(ip),
				Address: fmt.Sprintf("%s:%d", ip, backendPort), Place: l.place(region, n), Entries: entries,
				ChecksFence: n%2 == 0, Models: models, Tiers: initialTiers(random, declared), Store: l.Store,
				Slots: s.Slots, Seed: s.Seed + uint64(len(out.Engines)), History: s.History, EventLoss: 0.02,
			})
		}
	}
	var names []fleet.ServiceID
	for _, v := range o.Services {
		names = append(names, fleet.ServiceID(v.Name))
	}
	for n := range ServiceServers {
		region := n % len(o.Regions)
		ip := l.ip(region, firstService+n)
		out.Services = append(out.Services, service.Settings{
			ID: fleet.BackendID(fmt.Sprintf("%s-service-1", o.Regions[region].Name)), Network: s.Transport(ip),
			Address: fmt.Sprintf("%s:%d", ip, backendPort), Place: l.place(region, 0), Entries: entries, Services: names,
			History: s.History,
		})
	}
	return out
}

// initialTiers draws at random which checkpoints an engine has at its start: one in memory and eight on disk. All others are
// remote.
func initialTiers(random *rand.Rand, d *config.Document) map[fleet.ModelID]fleet.Tier {
	const inMemory, onDisk = 1, 8
	out := map[fleet.ModelID]fleet.Tier{}
	for i, n := range random.Perm(len(d.Models))[:inMemory+onDisk] {
		out[d.Models[n].Name] = fleet.TierDisk
		if i < inMemory {
			out[d.Models[n].Name] = fleet.TierMemory
		}
	}
	return out
}

// Caller returns a caller in the region with the given number. If hosts are given, it sends only to them and does not look up
// others.
func (l *Live) Caller(region int, credential string, seed uint64, hosts ...string) *caller.Client {
	s := caller.Settings{
		Network: l.settings.Transport(l.ip(region, firstCaller)), Hosts: l.CallerAddresses(), Credential: credential,
		Grace: CallerGrace, Seed: seed, History: l.settings.History, HostID: l.HostID,
	}
	if len(hosts) > 0 {
		s.Hosts, s.KnownHostsOnly = hosts, true
	}
	return caller.New(s)
}

const (
	// DeadlineTolerance is by how much an answer may exceed its deadline at the caller before the checker reports it: the round
	// trip between regions and the delay that a busy machine may add.
	DeadlineTolerance = 2 * time.Second
	// CallerGrace is how long a caller waits beyond its deadline. It is longer than DeadlineTolerance, so that a late answer is
	// recorded in the history and the checker reports it.
	CallerGrace = DeadlineTolerance + time.Second
)

// History returns the history of the run, which may be nil.
func (l *Live) History() *history.History { return l.settings.History }

// OperatorIP returns the address that operators' clients send from.
func (l *Live) OperatorIP() string { return l.ip(0, firstOperator) }

// Crash stops an entry host and aborts all its connections, as a crash of its process does.
func (l *Live) Crash(h deployment.Host) error {
	l.settings.History.Add(history.HostStopped{Host: h.ID})
	if l.Network != nil {
		l.Network.AbortConnections(h.IP)
	}
	return l.KillHost(h.ID)
}

// Close stops the deployment and its network.
func (l *Live) Close() error {
	if l.Network != nil {
		// At shutdown a host waits for its open connections, which include connections to itself; so all connections are
		// aborted first.
		l.Network.Shutdown()
	}
	err := l.Deployment.Close()
	if l.Network != nil {
		if nerr := l.Network.Close(); err == nil {
			err = nerr
		}
	}
	return err
}
