package routed

import (
	"context"
	"errors"
	"io"
	"io/fs"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"toucanway/core/catalog"
	"toucanway/core/fleet"
	"toucanway/core/quota"
	"toucanway/core/raft"
	"toucanway/io/backend"
	"toucanway/io/controlapi"
	"toucanway/io/controller"
	"toucanway/io/disk"
	"toucanway/io/formation"
	"toucanway/io/hosts"
	"toucanway/io/network"
	"toucanway/io/settings"
	"toucanway/io/voters"
)

// maxAddressLifetime bounds the time for which callers may cache the addresses of gateways, so that they soon learn of a gateway
// that has ended.
const maxAddressLifetime = 2 * time.Second

// groupFolder is the folder of the control group below a host's data folder.
const groupFolder = "control"

// RunController runs a member of the control group until the context ends. Log lines are written to out; file is the settings
// file.
func RunController(ctx context.Context, s *settings.Routed, file string, a Adapter, out io.Writer) error {
	p := newProcess(s, file, out)
	clock := network.NewClock()
	marker := ordererMarker(filepath.Join(string(s.DataFolder), ordererFile))
	group := formation.New(formation.Settings{
		Self: s.IP, Port: uint16(s.HostsPort), Seeds: p.seedHosts, Bootstrap: s.Bootstrap, ToleratedLosses: s.ToleratedLosses,
		Open: func() (voters.Storage, error) {
			return disk.Open(disk.Settings{Dir: filepath.Join(string(s.DataFolder), groupFolder)})
		},
		PreferredLeader: marker.exists,
		Machine:         func() raft.StateMachine { return &catalog.Machine{} },
		Client:          p.client, Now: clock.Now, Log: p.log,
	})
	// The group's voters are known even if no seed runs any more.
	knownHosts := func() []fleet.HostID { return slices.Concat(group.Status().Voters, p.seedHosts()) }
	c := controller.New(controller.Settings{
		Self: s.IP, Region: s.Region, ControlAddress: string(s.Listen.Control), Group: group, Client: controlapi.NewClient(p.client, uint16(s.HostsPort), knownHosts), Parser: a.Dialect,
		Engines: a.Engines(backend.NewPool(p.network)), Log: p.log, Metrics: p.metrics, Now: clock.Now, SaveIsOrderer: marker.set,
		QuotaTolerance: quota.Tolerance{Window: s.Bounds.QuotaWindow, Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack},
		OrderHandover:  s.Bounds.OrderHandover, AddressLifetime: min(s.Bounds.AddressLifetime, maxAddressLifetime),
	})
	srv := &hosts.Server{}
	group.Register(srv)
	c.Register(srv)
	address := string(s.Listen.Hosts)
	if address == "" {
		address = net.JoinHostPort(string(s.IP), strconv.Itoa(s.HostsPort))
	}
	l, err := p.network.Listen(address)
	if err != nil {
		return err
	}
	return p.run(ctx, "controller",
		func(ctx context.Context) error { return srv.Run(ctx, l) },
		group.Run, c.Run,
		func(ctx context.Context) error { return p.serve(ctx, s.Listen.Control, a.Control(c)) },
		func(ctx context.Context) error { return p.serve(ctx, s.Listen.Directory, a.Directory(c)) },
	)
}

// ordererFile is the name of a file in the data folder that exists while this host sends orders to engines. After a restart of
// all hosts this host should lead again, since a leader that was the last to send orders need not wait for the handover time.
const ordererFile = "ordering"

// ordererMarker is the path of the file that ordererFile names.
type ordererMarker string

func (n ordererMarker) exists() bool {
	_, err := os.Stat(string(n))
	return err == nil
}

func (n ordererMarker) set(isOrderer bool) error {
	if isOrderer {
		f, err := os.Create(string(n))
		if err != nil {
			return err
		}
		if err := f.Close(); err != nil {
			return err
		}
	} else if err := os.Remove(string(n)); errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	// The creation or removal of the file is durable only after its folder is synced.
	return disk.OS{}.SyncDir(filepath.Dir(string(n)))
}
