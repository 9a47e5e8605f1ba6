package commands

import (
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"slices"
	"time"

	"toucanway/cmd/toucanway-lab/internal/engine"
	"toucanway/cmd/toucanway-lab/internal/service"
	"toucanway/cmd/toucanway-lab/internal/store"
	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/io/network"
)

// backendOptions are the options of all stand-in backend servers: id, address, location, entry hosts and slots.
type backendOptions struct {
	ID         string   `long:"id" required:"true" description:"id of the backend server"`
	Listen     string   `long:"listen" default:"127.0.0.1:0" description:"IP:PORT to listen on; port 0 selects a free one"`
	Entries    []string `long:"entry" required:"true" description:"IP:PORT of an entry host to announce to; may be repeated"`
	Region     string   `long:"region" default:"region-1" description:"region"`
	DataCentre string   `long:"data-centre" default:"dc-1" description:"data centre"`
	Rack       string   `long:"rack" default:"rack-1" description:"rack"`
	Slots      int      `long:"slots" description:"requests that run at the same time; 0 means the default of the stand-in"`
}

func (o *backendOptions) place() fleet.Place {
	return fleet.Place{
		Region: fleet.Region(o.Region), DataCentre: fleet.DataCentre(o.DataCentre), Rack: fleet.Rack(o.Rack),
	}
}

func (o *backendOptions) network() (network.TCP, error) {
	a, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return network.TCP{}, fmt.Errorf("--listen %q is not IP:PORT: %w", o.Listen, err)
	}
	return network.TCP{Local: a.Addr()}, nil
}

// newIncarnation returns the current time in nanoseconds, so that each restart of the process has a higher incarnation.
func newIncarnation() fleet.Incarnation { return fleet.Incarnation(time.Now().UnixNano()) }

type engineCommand struct {
	env *environment

	backendOptions
	Count          int           `long:"count" default:"1" description:"number of engines; those after the first use free ports"`
	MemoryGiB      int64         `long:"memory-gib" default:"80" description:"memory in GiB"`
	ChecksFence    bool          `long:"checks-fence" description:"refuse stale fencing tokens, and announce it"`
	TokenInterval  time.Duration `long:"token-interval" default:"20ms" description:"time between tokens of a batch of one"`
	StoreRate      float64       `long:"store-rate" default:"3" description:"loads that the weight store starts in a second"`
	StoreFullSpeed int           `long:"store-full-speed" default:"4" description:"checkpoint loads that run at full speed at the same time"`
	StoreAdapters  int           `long:"store-adapters" default:"30" description:"adapter loads that run at full speed at the same time"`
	Document       string        `long:"document" description:"configuration document that declares the models; other models have the default sizes of the stand-in"`
	Seed           uint64        `long:"seed" default:"1" description:"seed of load times and lost events"`
}

// Execute runs the engines until the context is cancelled.
func (c *engineCommand) Execute([]string) error {
	n, err := c.network()
	if err != nil {
		return err
	}
	models, err := c.models()
	if err != nil {
		return err
	}
	weights := store.New(store.Settings{
		Rate: c.StoreRate, MaxFullSpeedLoads: c.StoreFullSpeed, MaxFullSpeedAdapterLoads: c.StoreAdapters,
	})
	var engines []*engine.Engine
	for i := range c.Count {
		s := engine.Settings{
			ID: fleet.BackendID(c.ID), Network: n, Address: c.Listen, Place: c.place(), Entries: c.Entries,
			Incarnation: newIncarnation(), Memory: fleet.Bytes(c.MemoryGiB) * fleet.GiB, Slots: c.Slots,
			ChecksFence: c.ChecksFence, TokenInterval: c.TokenInterval, Store: weights, Models: models, Seed: c.Seed + uint64(i),
		}
		if i > 0 {
			s.ID = fleet.BackendID(fmt.Sprintf("%s-%d", c.ID, i+1))
			s.Address = netip.AddrPortFrom(n.Local, 0).String()
		}
		e := engine.New(s)
		if err := e.Start(); err != nil {
			return errors.Join(err, closeAll(engines))
		}
		engines = append(engines, e)
		fmt.Fprintf(c.env.Out, "engine %s listens on %s\n", s.ID, e.Address())
	}
	<-c.env.ctx.Done()
	var errs []error
	for _, e := range engines {
		errs = append(errs, e.Leave())
	}
	return errors.Join(append(errs, closeAll(engines))...)
}

// models returns the models of the document, or none if no document is given.
func (c *engineCommand) models() (map[fleet.ModelID]engine.Model, error) {
	if c.Document == "" {
		return map[fleet.ModelID]engine.Model{}, nil
	}
	text, err := os.ReadFile(c.Document)
	if err != nil {
		return nil, err
	}
	d, problems := config.Parse(c.Document, string(text))
	if err := problems.Err(); err != nil {
		return nil, err
	}
	return engine.ModelsOf(d), nil
}

func closeAll(engines []*engine.Engine) error {
	var errs []error
	for _, e := range engines {
		errs = append(errs, e.Close())
	}
	return errors.Join(errs...)
}

type serviceCommand struct {
	env *environment

	backendOptions
	Services []string      `long:"service" required:"true" description:"name of a service that it offers; may be repeated"`
	Delay    time.Duration `long:"delay" default:"20ms" description:"time of one call"`
}

// Execute runs the service until the context is cancelled, and prints how often it ran each key.
func (c *serviceCommand) Execute([]string) error {
	n, err := c.network()
	if err != nil {
		return err
	}
	s := service.Settings{
		ID: fleet.BackendID(c.ID), Network: n, Address: c.Listen, Place: c.place(), Entries: c.Entries,
		Incarnation: newIncarnation(), Delay: c.Delay, Slots: c.Slots,
	}
	for _, name := range c.Services {
		s.Services = append(s.Services, fleet.ServiceID(name))
	}
	v := service.New(s)
	if err := v.Start(); err != nil {
		return err
	}
	fmt.Fprintf(c.env.Out, "service %s listens on %s\n", s.ID, v.Address())
	<-c.env.ctx.Done()
	err = errors.Join(v.Leave(), v.Close())
	counts := v.Counts()
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(c.env.Out, "%s %d\n", key, counts[key])
	}
	return err
}
