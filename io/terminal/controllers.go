package terminal

import (
	"context"
	"net/netip"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"toucanway/core/fleet"
	"toucanway/io/controlapi"
	"toucanway/io/formation"
	"toucanway/io/hosts"
	"toucanway/io/network"
	"toucanway/io/operators"
)

// operatorHost is the name under which commands call controllers.
const operatorHost fleet.HostID = "operator"

// controllers are the options of commands that call the leader of the control group of a routed deployment.
type controllers struct {
	routedSettings
	Controllers []string `long:"controller" value-name:"IP:PORT" description:"Address for other hosts of a controller, with the port hosts-port of its settings; repeat the option to give more. Without it the seeds of the settings file are used."`
}

// group are the controllers that a command asks first, and their port for other hosts.
type group struct {
	hosts []fleet.HostID
	port  uint16
}

// group returns the controllers of the options; fallback is the default settings file.
func (c *controllers) group(fallback string) (group, error) {
	if len(c.Controllers) > 0 {
		return parseGroup(c.Controllers)
	}
	if c.Settings == "" && fallback == "" {
		return group{}, &flags.Error{Type: flags.ErrRequired, Message: "name a controller with --controller=IP:PORT or the settings file of a host with --settings=FILE"}
	}
	s, _, err := c.load(fallback)
	if err != nil {
		return group{}, err
	}
	g := group{port: uint16(s.HostsPort)}
	for _, a := range s.Seeds {
		if h := formation.HostOf(string(a)); h != "" {
			g.hosts = append(g.hosts, h)
		}
	}
	return g, nil
}

// parseGroup returns the controllers of a list of addresses.
func parseGroup(addresses []string) (group, error) {
	var g group
	for _, text := range addresses {
		a, err := netip.ParseAddrPort(text)
		if err != nil {
			return group{}, &flags.Error{Type: flags.ErrMarshal, Message: "the address of a controller is not IP:PORT: " + text}
		}
		if g.port != 0 && g.port != a.Port() {
			return group{}, &flags.Error{Type: flags.ErrMarshal, Message: "the addresses of controllers have different ports; hosts-port is the same on every host"}
		}
		g.port = a.Port()
		g.hosts = append(g.hosts, formation.HostOf(text))
	}
	return g, nil
}

// callLeader calls a procedure of the leader of the control group.
func callLeader[Req, Res any, P interface {
	*Res
	controlapi.Response
}](p *program, g group, procedure string, req *Req) (*Res, error) {
	client := hosts.NewClient(operatorHost, network.TCP{}, nil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(p.ctx, seconds(p.global.Timeout))
	defer cancel()
	res, err := controlapi.Call[Req, Res, P](ctx, controlapi.NewClient(client, g.port, func() []fleet.HostID { return g.hosts }), procedure, 0, req)
	if errorx.IsOfType(err, controlapi.ErrNoLeader) {
		return nil, &operators.Error{Code: operators.CodeUnavailable, Message: err.Error()}
	}
	return res, err
}
