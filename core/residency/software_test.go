package residency

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"toucanway/core/fleet"
)

// Guards against streams that could go on at their software version, but whose model is loaded at engines of another one only.
func TestModelIsLoadedAtSoftwareVersionOfWaitingStreams(t *testing.T) {
	tests := map[string]struct {
		// software lists the versions of the engines; the first one has the model.
		software []fleet.SoftwareVersion
		want     []bool
	}{
		"an engine of the version":       {[]fleet.SoftwareVersion{"v2", "v2", "v1"}, []bool{true, false, true}},
		"no engine of the version":       {[]fleet.SoftwareVersion{"v2", "v2"}, []bool{true, false}},
		"an engine of the version holds": {[]fleet.SoftwareVersion{"v1", "v1", "v2"}, []bool{true, false, false}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1, len(tt.software), model("hot", 40))
			d.loadModels(0, "hot")
			for i, v := range tt.software {
				d.engines[d.ids[i]].Software = v
			}
			d.run(2 * time.Second)
			for range 40 {
				d.planner.UpdateDemand(d.now, "host", []Demand{{Service: "llm", Target: target("hot"), Software: "v1", Waiting: 1}})
				d.run(250 * time.Millisecond)
			}
			for i, want := range tt.want {
				_, holds := d.engines[d.ids[i]].models["hot"]
				require.Equal(t, want, holds, "engine %d", i)
			}
			d.planner.UpdateDemand(d.now, "host", nil)
			require.Empty(t, d.planner.bound.waiting)
			require.Empty(t, d.planner.bound.since)
		})
	}
}
