package terminal

import (
	"github.com/jessevdk/go-flags"

	"toucanway/io/settings"
)

// routedSettings is the option of the commands that run a gateway or a controller of a deployment that forwards requests
// by routes.
type routedSettings struct {
	Settings flags.Filename `long:"settings" value-name:"FILE" description:"Settings file of the host; by default the file that the platform specifies."`
}

// load reads the settings from the given file or, if none is given, from fallback. It also returns the file name.
func (r *routedSettings) load(fallback string) (*settings.Routed, string, error) {
	file := string(r.Settings)
	if file == "" {
		file = fallback
	}
	s, err := settings.LoadRouted(file)
	return s, file, err
}

type gateway struct {
	*program
	routedSettings
}

// Execute runs the gateway.
func (c *gateway) Execute([]string) error {
	s, file, err := c.load(c.env.SettingsFile)
	if err != nil {
		return err
	}
	return c.env.Gateway(c.ctx, s, file)
}

type controller struct {
	*program
	routedSettings
}

// Execute runs the controller.
func (c *controller) Execute([]string) error {
	s, file, err := c.load(c.env.SettingsFile)
	if err != nil {
		return err
	}
	return c.env.Controller(c.ctx, s, file)
}
