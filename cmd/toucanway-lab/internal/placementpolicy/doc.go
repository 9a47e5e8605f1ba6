// Package placementpolicy compares placement policies in one small event loop over fake engines and a fake weight store.
//
// One run feeds the same seeded requests to a named baseline and to the planner of core/placement and reports both in one
// table. go test ./cmd/toucanway-lab/internal/placementpolicy -run Experiment -experiment NAME -seeds 1,2,3 -v prints it.
package placementpolicy
