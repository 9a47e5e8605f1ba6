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
	maxVoters    = 3
	startTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// networkNumber is the second byte of the loopback addresses. It differs from the networks of the examples.
	networkNumber = 71
	engineAddress = "127.71.2.1:8000"
	model         = "m1"
)

// options describe a deployment to measure.
type options struct {
	hosts int
	// tokenInterval is the time between tokens of the engine.
	tokenInterval time.Duration
	// slots is the number of requests that the engine runs at once; with zero there is no engine.
	slots int
	// withService adds a backend server that offers the service orders.
	withService bool
}

// testbed is a running deployment and the folder of its voters' files.
type testbed struct {
	network    *live.Network
	deployment *deployment.Deployment
	folder     string
	// submitDuration is the time from the submission of the document until it was in force on all hosts.
	submitDuration time.Duration
}

func hostIP(i int) string { return fmt.Sprintf("127.%d.1.%d", networkNumber, i+1) }

// start starts a deployment without network delays, submits its document, and waits until it is ready for requests.
func start(ctx context.Context, s options) (*testbed, error) {
	folder, err := os.MkdirTemp("", "toucanway-cost-")
	if err != nil {
		return nil, err
	}
	w := &testbed{folder: folder, network: live.NewNetwork(func(_, _ netip.Addr) time.Duration { return 0 })}
	cfg := deployment.Settings{Network: w.network.Host, Seed: 1, Storage: func(h fleet.HostID, g raft.GroupID) (voters.Storage, error) {
		return disk.Open(disk.Settings{Dir: filepath.Join(folder, string(h), fmt.Sprint(g))})
	}}
	place := fleet.Place{Region: "r1", DataCentre: "dc1", Rack: "rack-1"}
	var entries []string
	for i := range s.hosts {
		h := deployment.Host{ID: fleet.HostID(fmt.Sprintf("h%d", i+1)), IP: hostIP(i), Place: place, Voter: i < maxVoters}
		cfg.Hosts = append(cfg.Hosts, h)
		entries = append(entries, deployment.CallerAddress(h))
	}
	if s.slots > 0 {
		cfg.Engines = []engine.Settings{{
			ID: "e1", Network: w.network.Host("127.71.2.1"), Address: engineAddress, Place: place, Entries: entries[:1],
			Slots: s.slots, TokenInterval: s.tokenInterval, BatchGrowth: noBatchGrowth, PrefillPerToken: time.Nanosecond, MaxQueue: 4 * s.slots,
			Memory: 4096 * fleet.GiB, Tiers: map[fleet.ModelID]fleet.Tier{model: fleet.TierMemory},
		}}
	}
	if s.withService {
		cfg.Services = []service.Settings{{
			ID: "s1", Network: w.network.Host("127.71.2.2"), Address: "127.71.2.2:8000", Place: place, Entries: entries[:1],
			Services: []fleet.ServiceID{"orders"}, Delay: time.Nanosecond, Slots: 1024,
		}}
	}
	w.deployment, err = deployment.Start(cfg)
	if err == nil {
		err = w.prepare(ctx, s)
	}
	if err != nil {
		return nil, errors.Join(err, w.close())
	}
	return w, nil
}

// noBatchGrowth keeps the token interval practically the same for all batch sizes; zero would select the default growth.
const noBatchGrowth = 1e-9

// prepare waits until all servers are registered, submits the document, and waits for a ready replica if there is an engine.
func (w *testbed) prepare(ctx context.Context, s options) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	err := w.await(ctx, func(st *control.State) bool {
		return len(st.Sessions()) == s.hosts && len(st.Backends()) == len(w.deployment.Engines)+len(w.deployment.Services)
	})
	if err != nil {
		return err
	}
	extra := []string{}
	if s.slots > 0 {
		extra = append(extra, "min-replicas: 1")
	}
	op := w.deployment.Operator(hostIP(0), deployment.OperatorToken)
	defer op.Close()
	began := time.Now()
	if _, err := op.Submit(ctx, operators.SubmitRequest{Text: deployment.SmallDocument(1, extra...)}); err != nil {
		return err
	}
	w.submitDuration = time.Since(began)
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

// await polls the control state of host h1 until a condition holds.
func (w *testbed) await(ctx context.Context, ok func(*control.State) bool) error {
	for {
		done, sessions, servers := false, 0, 0
		w.deployment.ReadState("h1", func(s *control.State) { done, sessions, servers = ok(s), len(s.Sessions()), len(s.Backends()) })
		if done {
			return nil
		}
		if err := pause.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("deployment not ready; %d sessions, %d backend servers: %w", sessions, servers, err)
		}
	}
}

// caller returns a caller that sends to one address only, with a single attempt.
func (w *testbed) caller(class, address string) *caller.Client {
	return caller.New(caller.Settings{
		Network: w.network.Host("127.71.3.1"), Hosts: []string{address}, KnownHostsOnly: true,
		Credential: deployment.CallerToken(class), MaxAttempts: 1, Grace: time.Minute,
	})
}

// storedBytes returns the total size of the voters' files in bytes.
func (w *testbed) storedBytes() (int64, error) {
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

func (w *testbed) close() error {
	var errs []error
	if w.deployment != nil {
		// At shutdown a server waits for its open connections, which include connections of a host to itself; so all
		// connections are ended first.
		w.network.Shutdown()
		errs = append(errs, w.deployment.Close())
	}
	return errors.Join(append(errs, w.network.Close(), os.RemoveAll(w.folder))...)
}
