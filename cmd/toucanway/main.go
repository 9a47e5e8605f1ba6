// Command toucanway is the entry host daemon and the operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"toucanway/io/terminal"
	"toucanway/platform"
)

const version = "0.1.0"

func main() {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cancel()
		<-signals
		os.Exit(int(terminal.ExitFailed))
	}()
	env := terminal.Environment{
		Stdout: os.Stdout, Stderr: os.Stderr, Serve: serve, Gateway: runGateway, Controller: runController,
		SettingsFile: platform.SettingsFile(), Version: version,
	}
	os.Exit(int(terminal.Run(ctx, env, os.Args[1:])))
}
