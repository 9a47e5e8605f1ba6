package placement

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
)

// Planner proposes replica targets, loads, unloads and capacity owners. It is not safe for concurrent use. A new leader
// starts with a new Planner.
type Planner struct {
	cfg Settings
}

// New returns a planner without observations.
func New(cfg Settings) *Planner { return &Planner{cfg: cfg} }

// SetCatalogue replaces the declared models after an accepted document.
func (p *Planner) SetCatalogue(now time.Time, c Catalogue) {}

// ObserveDemand takes one host's report.
func (p *Planner) ObserveDemand(now time.Time, d Demand) {}

// ObserveInventory takes the cached checkpoints of a backend server from an inventory that its owner read.
func (p *Planner) ObserveInventory(now time.Time, inv fleet.Inventory) {}

// ObserveLoad takes the measured time of one load.
func (p *Planner) ObserveLoad(now time.Time, r LoadResult) {}

// Estimate returns the expected time until a model has a ready replica, 0 when it has one, and false when no load is
// possible at present.
func (p *Planner) Estimate(m fleet.ModelID) (time.Duration, bool) { return 0, false }

// Unmet returns the operators' bounds that the last round found unmet, ordered by model.
func (p *Planner) Unmet() []UnmetBound { return nil }

// Round returns the commands to propose now, in order. Commands rejected at commit need no report: the next round reads
// the state again.
func (p *Planner) Round(now time.Time, s *control.State) []control.Command { return nil }
