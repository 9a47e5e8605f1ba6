package controlscenario

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"toucanway/core/fleet"
	"toucanway/core/registry"
	"toucanway/core/residency"
	"toucanway/io/controlapi"
	"toucanway/io/hosts"
)

// Guards against entry hosts and controllers that stop following the registry because of one entry of another writer (rule LOST).
func TestOddEntryStopsNobody(t *testing.T) {
	const gateways = 6
	odd := map[string]registry.Instance{
		"id that is not UTF-8":     {ID: "e\xff", Incarnation: 1, Service: service, Address: "10.0.0.9:80"},
		"names that are not UTF-8": {ID: "e", Incarnation: 1, Service: "\xc3\x28", Address: "10.0.0.9:80", Software: "\xff", DataCentre: "\xfe"},
		"highest numbers": {
			ID: "e", Incarnation: 1<<64 - 1, Service: service, Address: "10.0.0.9:80", Slots: 1<<63 - 1,
			Models: []registry.Model{{Name: "m0", Version: 1<<63 - 1}},
		},
		"lowest numbers": {ID: "e", Incarnation: 1, Service: service, Address: "10.0.0.9:80", Slots: -1 << 63, Models: []registry.Model{{Name: "m0", Version: -1 << 63}}},
	}
	for name, in := range odd {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := startControllers(t)
				defer closeAndCheck(t, w)
				log, stop := startGateways(t, w, gateways)
				defer stop()
				time.Sleep(2 * time.Second)
				sendHeartbeat(t, w, registry.Heartbeat{Instance: in, Seq: 1<<64 - 1, Engine: true})
				sendHeartbeat(t, w, heartbeat("sound", 1, 1, "10.0.0.1:80"))
				time.Sleep(2 * time.Second)
				require.Equal(t, gateways, log.FilterField(zapInstance("sound")).FilterMessage("backend server known").Len())
				require.NoError(t, w.kill(w.leader()))
				time.Sleep(3 * time.Second)
				sendHeartbeat(t, w, heartbeat("later", 1, 1, "10.0.0.2:80"))
				time.Sleep(2 * time.Second)
				require.Equal(t, gateways, log.FilterField(zapInstance("later")).FilterMessage("backend server known").Len())
			})
		})
	}
}

// Guards against an entry host whose reports the leader can no longer read because of the name of a model in one caller's request.
func TestOddModelNameInReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startControllers(t)
		defer closeAndCheck(t, w)
		client := hosts.NewClient("10.9.9.8", w.net.Host("10.9.9.8"), nil)
		defer client.Close()
		ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
		defer cancel()
		_, err := controlapi.Call[controlapi.ReportRequest, controlapi.ReportResponse](ctx, controlapi.NewClient(client, port, w.hostIDs),
			controlapi.ProcedureReport, 0, &controlapi.ReportRequest{Ready: true, Demands: []residency.Demand{
				{Service: service, Target: fleet.Target{Model: "m\xff", Adapter: "\xfe"}, Arrivals: 1, Waiting: 1},
			}})
		require.NoError(t, err)
	})
}

func zapInstance(id string) zap.Field { return zap.String("instance", id) }
