package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"

	"toucanway/core/raft"
	"toucanway/io/disk"
	"toucanway/io/entry"
	"toucanway/io/network"
	"toucanway/io/settings"
	"toucanway/io/voters"
)

// serve runs the entry host daemon until ctx ends and its drain is complete.
func serve(ctx context.Context, s *settings.Settings) error {
	h, err := entry.New(entry.Settings{
		Settings: s,
		Network:  network.TCP{Local: s.Listen.Hosts.AddrPort().Addr()},
		Loggers:  settings.NewLoggers(s, os.Stderr),
		Seed:     rand.Uint64(),
		Storage: func(id raft.GroupID) (voters.Storage, error) {
			return disk.Open(disk.Settings{Dir: filepath.Join(string(s.DataFolder), fmt.Sprintf("group-%d", id))})
		},
	})
	if err != nil {
		return err
	}
	return h.Run(ctx, context.WithoutCancel(ctx))
}
