package examples

import (
	"path"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/io/settings"
)

// Guards against examples that the system rejects as invalid, and against examples that are smaller than the deployments of the
// organisations.
func TestExamples(t *testing.T) {
	for name, tc := range map[string]struct {
		org            *Organisation
		models         int
		loadsPerSecond float64
	}{
		"kopi-lintas-data": {KopiLintasData(), 60, 3},
		"asociacion":       {Asociacion(), 40, 4},
	} {
		t.Run(name, func(t *testing.T) {
			text := tc.org.Document()
			d, problems := config.Parse("document.yaml", text)
			require.NoError(t, problems.Err())
			require.Less(t, len(text), control.MaxDocumentBytes/2, "leaves room to grow")
			require.Len(t, d.Models, tc.models)
			require.Len(t, d.Regions.Regions, 3)
			adapters := 0
			for _, m := range d.Models {
				adapters += len(m.Adapters)
			}
			require.InDelta(t, 95, float64(adapters)/float64(len(d.Models)), 1)
			require.Equal(t, config.WeightStore{LoadsPerSecond: tc.loadsPerSecond, ConcurrentLoads: 4, AdapterLoadsInFlight: 30}, d.Capacity.WeightStore)

			places := map[string]bool{}
			for _, r := range d.Regions.Regions {
				for _, dc := range r.DataCentres {
					places[path.Join(string(r.Name), string(dc))] = true
				}
			}
			voters, addresses := 0, map[settings.Address]bool{}
			for _, h := range tc.org.Hosts() {
				s, problems := settings.Parse(h.ID, tc.org.Settings(h))
				require.NoError(t, problems.Err())
				require.True(t, places[path.Join(string(s.Region), string(s.DataCentre))], h.ID)
				addresses[s.Listen.Hosts] = true
				if s.IsVoter() {
					voters++
				}
			}
			require.Equal(t, 3, voters)
			require.Len(t, addresses, 6)
			first, ok := d.OperatorByToken(tc.org.Token(tc.org.Operators[0].ID))
			require.True(t, ok)
			require.True(t, d.Owns(first.ID, config.SectionOwners))
		})
	}
}
