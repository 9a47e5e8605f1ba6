package main

import (
	"context"
	"errors"

	"toucanway/io/settings"
)

// serve runs the daemon of a host until ctx ends; io/entry is called here.
func serve(context.Context, *settings.Settings) error {
	return errors.New("this build has no daemon; build it with io/entry")
}
