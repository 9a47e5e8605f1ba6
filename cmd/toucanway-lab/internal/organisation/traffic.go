package organisation

import (
	"context"
	"fmt"

	"toucanway/cmd/toucanway-lab/internal/deployment"
	"toucanway/cmd/toucanway-lab/internal/live"
	"toucanway/io/operators"
)

// addTraffic adds the bytes sent between regions to the values: those of all traffic, and those of answers by tenant as counted
// by the hosts.
func addTraffic(ctx context.Context, l *live.Live, values map[string]float64) error {
	for route, n := range l.Network.Traffic() {
		if route.From.As4()[2] != route.To.As4()[2] {
			values["cross-region bytes of all traffic"] += float64(n)
		}
	}
	org := l.Organisation
	for _, h := range l.Settings.Hosts {
		op := operators.NewClient(operators.ClientSettings{
			Addresses: []string{fmt.Sprintf("%s:%d", h.IP, deployment.PortOperators)}, Token: org.Token(org.Operators[0].ID),
			Dial: l.Settings.Network(l.OperatorIP()).Dial,
		})
		families, err := op.Metrics(ctx)
		op.Close()
		if err != nil {
			return err
		}
		for _, f := range families {
			if f.Name != "cross-region-bytes" {
				continue
			}
			for _, s := range f.Metrics {
				values["cross-region bytes of "+s.Labels["tenant"]] += float64(s.Value)
			}
		}
	}
	return nil
}
