package cost

import (
	"fmt"
	"math/rand/v2"
	"time"

	"toucanway/cmd/toucanway-lab/internal/capacity"
	"toucanway/cmd/toucanway-lab/internal/placementpolicy"
	"toucanway/core/fleet"
	"toucanway/core/routing"
)

const (
	targetEngines = 6600
	targetModels  = 210
	// enginesPerHost is the number of engines for each entry host at the target size.
	enginesPerHost = 5
	// decisionsPerRun is the number of routing decisions of one run of the measurement.
	decisionsPerRun = 20000
	// replicasPerModel is the mean number of replicas of a model at the target size.
	replicasPerModel = 32
	adaptersPerModel = 10
)

// decisionMeasurements returns the measurements of routing and placement decisions, which need no network.
func decisionMeasurements() []capacity.Measurement {
	sizes := []int{660, 1650, 3300, targetEngines}
	return []capacity.Measurement{
		{
			Name: "CPU of one routing decision", SizeUnit: "backend server", Unit: "us", Sizes: sizes, Target: targetEngines, Repeat: 3,
			Run: routingDecision,
		},
		{
			Name: "time of one planning round", SizeUnit: "backend server", Unit: "ms", Sizes: sizes, Target: targetEngines, Repeat: 2,
			Run: func(n int) (float64, error) {
				ms, _ := placementpolicy.RoundCost(1, n, n/enginesPerHost, targetModels)
				return ms, nil
			},
		},
	}
}

// routingDecision returns the CPU time, in microseconds, that the router of a deployment with n engines needs for one request:
// to choose a replica and to record the start and the end of the request.
func routingDecision(n int) (float64, error) {
	random := rand.New(rand.NewPCG(1, 1))
	r := routing.New(routing.Settings{Place: fleet.Place{Region: "r0"}, Rand: random})
	now := time.Now()
	for i := range n {
		r.SetBackend(fleet.Announcement{
			ID: engineID(i), Incarnation: 1, Kind: fleet.KindEngine, Slots: 64,
			Place: fleet.Place{Region: fleet.Region(fmt.Sprintf("r%d", i%5))},
		})
	}
	for m := range targetModels {
		var backends []fleet.BackendID
		for range replicasPerModel {
			backends = append(backends, engineID(random.IntN(n)))
		}
		r.SetReplicas(modelID(m), backends)
	}
	ms, err := cpuMilliseconds(func() error {
		for i := range decisionsPerRun {
			at := now.Add(time.Duration(i) * time.Microsecond)
			q := routing.Request{
				Target: fleet.Target{Model: modelID(i % targetModels), Adapter: fleet.AdapterID(fmt.Sprintf("a%d", i%adaptersPerModel))},
				Tenant: "t1", Prompt: 300, Prefixes: []routing.Prefix{{Hash: uint64(i % 1000), Length: 256}, {Hash: uint64(i % 100), Length: 64}},
				Bytes: 1 << 14,
			}
			c, ok := r.Choose(at, &q)
			if !ok {
				return fmt.Errorf("no backend server was chosen for %s", q.Target)
			}
			r.Begin(at, c.Backend)
			r.End(at, c.Backend, time.Second)
		}
		return nil
	})
	return ms * 1000 / decisionsPerRun, err
}

func engineID(i int) fleet.BackendID { return fleet.BackendID(fmt.Sprintf("engine-%05d", i)) }

func modelID(i int) fleet.ModelID { return fleet.ModelID(fmt.Sprintf("model-%03d", i)) }
