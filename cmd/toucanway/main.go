// Command toucanway runs entry hosts, gateways and controllers, and is the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"toucanway/io/routed"
	"toucanway/io/settings"
	"toucanway/io/terminal"
	"toucanway/platform"
)

const version = "0.1.0"

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go stopOnSignals(signals, cancel, func() { os.Exit(int(terminal.ExitFailed)) })
	env := terminal.Environment{
		Stdout: os.Stdout, Stderr: os.Stderr, Serve: serve, SettingsFile: platform.SettingsFile(), Version: version, InspectRoutes: platform.Inspect,
		Gateway: func(ctx context.Context, s *settings.Routed, file string) error {
			return routed.RunGateway(ctx, s, file, platform.Adapter(), os.Stdout)
		},
		Controller: func(ctx context.Context, s *settings.Routed, file string) error {
			return routed.RunController(ctx, s, file, platform.Adapter(), os.Stdout)
		},
	}
	os.Exit(int(terminal.Run(ctx, env, os.Args[1:])))
}
