package routed

import (
	"context"
	"io"

	"toucanway/core/buffers"
	"toucanway/core/fleet"
	"toucanway/io/backend"
	"toucanway/io/controlapi"
	"toucanway/io/gateway"
	"toucanway/io/network"
	"toucanway/io/settings"
)

// RunGateway runs an entry host that forwards requests by routes until the context ends and its drain is done. Log lines are
// written to out; file is the settings file.
func RunGateway(ctx context.Context, s *settings.Routed, file string, a Adapter, out io.Writer) error {
	p := newProcess(s, file, out)
	clock := network.NewClock()
	g := gateway.New(gateway.Settings{
		Self: s.IP, Address: string(s.Listen.Callers), Place: s.Place(), Regions: s.Regions(), Dialect: a.Dialect,
		Client: controlapi.NewClient(p.client, uint16(s.HostsPort), p.seedHosts), Pool: backend.NewPool(p.network),
		Log: p.log, Metrics: p.metrics, GracePeriod: s.Bounds.GracePeriod, ConfigurationTime: s.Bounds.ConfigurationTime, Now: clock.Now,
		Buffers:       &buffers.Budget{Limit: fleet.Bytes(bufferShare * float64(s.Memory))},
		KeyRevocation: s.Bounds.KeyRevocation, Cores: s.Cores, LinkMbps: s.LinkMbps,
		Budget: gateway.Budget{Ratio: s.Bounds.RepeatRatio, Slack: s.Bounds.RepeatSlack, Window: s.Bounds.RepeatWindow},
	})
	l, err := p.network.Listen(string(s.Listen.Callers))
	if err != nil {
		return err
	}
	// The readiness address is served until the drain has ended.
	serving, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	return p.run(serving, "gateway",
		func(context.Context) error {
			defer cancel()
			return g.Run(ctx, l)
		},
		func(serving context.Context) error { return p.serve(serving, s.Listen.Ready, a.Ready(g.Ready)) },
	)
}
