// Package placementpolicy compares placement policies in a time-stepped simulation of engines and a weight store.
//
// One run feeds the same seeded requests to the baseline and to the planner of core/placement and reports both in one
// table. go test ./cmd/toucanway-lab/internal/placementpolicy -run Experiment -experiment NAME -seeds 1,2,3 -v prints it.
package placementpolicy
