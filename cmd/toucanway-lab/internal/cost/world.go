package cost

import (
	"context"
	"errors"
	"fmt"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"toucanway/cmd/toucanway-lab/internal/caller"
	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/engine"
	"toucanway/cmd/toucanway-lab/internal/live"
	"toucanway/cmd/toucanway-lab/internal/service"
	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/core/pause"
	"toucanway/core/raft"
	"toucanway/io/disk"
	"toucanway/io/operators"
	"toucanway/io/voters"
)

const (
	mostVoters   = 3
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// network is the second byte of the loopback addresses, apart from those of the examples.
	network       = 71
	engineAddress = "127.71.2.1:8000"
	model         = "m1"
)

// shape is a deployment to measure.
type shape struct {
	hosts    int
	interval time.Duration
	slots    int
	service  bool
}

type world struct {
	net    *live.Network
	d      *deployment.Deployment
	folder string
	// submitted is the time until the document was in force on all hosts.
	submitted time.Duration
}

func hostIP(i int) string { return fmt.Sprintf("127.%d.1.%d", network, i+1) }

// start starts hosts without delays between them, an engine if it has slots, and the document.
func start(ctx context.Context, s shape) (*world, error) {
	folder, err := os.MkdirTemp("", "toucanway-cost-")
	if err != nil {
		return nil, err
	}
	w := &world{folder: folder, net: live.NewNetwork(func(_, _ netip.Addr) time.Duration { return 0 })}
	cfg := deployment.Settings{Network: w.net.Host, Seed: 1, Storage: func(h fleet.HostID, g raft.GroupID) (voters.Storage, error) {
		return disk.Open(disk.Settings{Dir: filepath.Join(folder, string(h), fmt.Sprint(g))})
	}}
	place := fleet.Place{Region: "r1", DataCentre: "dc1", Rack: "rack-1"}
	var entries []string
	for i := range s.hosts {
		h := deployment.Host{ID: fleet.HostID(fmt.Sprintf("h%d", i+1)), IP: hostIP(i), Place: place, Voter: i < mostVoters}
		cfg.Hosts = append(cfg.Hosts, h)
		entries = append(entries, deployment.CallerAddress(h))
	}
	if s.slots > 0 {
		cfg.Engines = []engine.Settings{{
			ID: "e1", Network: w.net.Host("127.71.2.1"), Address: engineAddress, Place: place, Entries: entries[:1],
			Slots: s.slots, TokenInterval: s.interval, BatchGrowth: noGrowth, PrefillPerToken: time.Nanosecond, MaxQueue: 4 * s.slots,
			Memory: 4096 * fleet.GiB, Tiers: map[fleet.ModelID]fleet.Tier{model: fleet.TierMemory},
		}}
	}
	if s.service {
		cfg.Services = []service.Settings{{
			ID: "s1", Network: w.net.Host("127.71.2.2"), Address: "127.71.2.2:8000", Place: place, Entries: entries[:1],
			Services: []fleet.ServiceID{"orders"}, Delay: time.Nanosecond, Slots: 1024,
		}}
	}
	w.d, err = deployment.Start(cfg)
	if err == nil {
		err = w.prepare(ctx, s)
	}
	if err != nil {
		return nil, errors.Join(err, w.close())
	}
	return w, nil
}

// noGrowth keeps the token interval the same for all batch sizes; zero would mean the default.
const noGrowth = 1e-9

func (w *world) prepare(ctx context.Context, s shape) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := w.await(ctx, func(st *control.State) bool {
		return len(st.Sessions()) == s.hosts && len(st.Backends()) == len(w.d.Engines)+len(w.d.Services)
	})
	if err != nil {
		return err
	}
	extra := []string{}
	if s.slots > 0 {
		extra = append(extra, "min-replicas: 1")
	}
	op := w.d.Operator(hostIP(0), deployment.OperatorToken)
	defer op.Close()
	began := time.Now()
	if _, err := op.Submit(ctx, operators.SubmitRequest{Text: deployment.SmallDocument(1, extra...)}); err != nil {
		return err
	}
	w.submitted = time.Since(began)
	if s.slots == 0 {
		return nil
	}
	return w.await(ctx, func(st *control.State) bool {
		for _, r := range st.Replicas(model) {
			if r.State == control.ReplicaReady {
				return true
			}
		}
		return false
	})
}

func (w *world) await(ctx context.Context, ok func(*control.State) bool) error {
	for {
		done, sessions, servers := false, 0, 0
		w.d.Read("h1", func(s *control.State) { done, sessions, servers = ok(s), len(s.Sessions()), len(s.Backends()) })
		if done {
			return nil
		}
		if err := pause.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("the deployment did not get ready; %d sessions, %d backend servers: %w", sessions, servers, err)
		}
	}
}

// caller returns a caller that sends to one address only.
func (w *world) caller(class, address string) *caller.Client {
	return caller.New(caller.Settings{
		Network: w.net.Host("127.71.3.1"), Hosts: []string{address}, NoAdvice: true, Credential: deployment.CallerToken(class),
		MaxAttempts: 1, Grace: time.Minute,
	})
}

// stored returns the bytes of the voters' files.
func (w *world) stored() (int64, error) {
	var sum int64
	err := filepath.WalkDir(w.folder, func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if err == nil {
			sum += info.Size()
		}
		return err
	})
	return sum, err
}

func (w *world) close() error {
	var errs []error
	if w.d != nil {
		// Servers wait for open connections when they end, the hosts' connections to themselves included.
		w.net.Down()
		errs = append(errs, w.d.Close())
	}
	return errors.Join(append(errs, w.net.Close(), os.RemoveAll(w.folder))...)
}
