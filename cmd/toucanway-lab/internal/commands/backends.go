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

// placeOptions are where a stand-in stands and whom it announces itself to.
type placeOptions struct {
	ID         string   `long:"id" required:"true" description:"id of the backend server"`
	Listen     string   `long:"listen" default:"127.0.0.1:0" description:"IP:PORT to listen on; port 0 takes a free one"`
	Entries    []string `long:"entry" required:"true" description:"IP:PORT of an entry host to announce to; may be repeated"`
	Region     string   `long:"region" default:"region-1" description:"region"`
	DataCentre string   `long:"data-centre" default:"dc-1" description:"data centre"`
	Rack       string   `long:"rack" default:"rack-1" description:"rack"`
	Slots      int      `long:"slots" description:"requests at once; 0 means the stand-in's own number"`
}

func (o *placeOptions) place() fleet.Place {
	return fleet.Place{
		Region: fleet.Region(o.Region), DataCentre: fleet.DataCentre(o.DataCentre), Rack: fleet.Rack(o.Rack),
	}
}

func (o *placeOptions) network() (network.TCP, error) {
	a, err := netip.ParseAddrPort(o.Listen)
	if err != nil {
		return network.TCP{}, fmt.Errorf("--listen %q is not IP:PORT: %w", o.Listen, err)
	}
	return network.TCP{Local: a.Addr()}, nil
}

// newIncarnation returns a number that is higher after each restart of the process.
func newIncarnation() fleet.Incarnation { return fleet.Incarnation(time.Now().UnixNano()) }

type engineCommand struct {
	run *runtime

	placeOptions
	Count        int           `long:"count" default:"1" description:"number of engines; those after the first take free ports"`
	MemoryGiB    int64         `long:"memory-gib" default:"80" description:"memory in GiB"`
	ChecksFence  bool          `long:"checks-fence" description:"refuse stale fencing tokens, and announce it"`
	Interval     time.Duration `long:"token-interval" default:"20ms" description:"time between tokens of a batch of one"`
	StoreRate    float64       `long:"store-rate" default:"3" description:"loads a second that the weight store lets start"`
	StoreFull    int           `long:"store-full-speed" default:"4" description:"loads at once at full speed"`
	AdaptersFull int           `long:"store-adapters" default:"30" description:"adapter loads at once at full speed"`
	Document     string        `long:"document" description:"configuration document whose models the engine knows; others have the stand-in's own sizes"`
	Seed         uint64        `long:"seed" default:"1" description:"seed of load times and lost events"`
}

// Execute runs the engines until the context ends.
func (c *engineCommand) Execute([]string) error {
	n, err := c.network()
	if err != nil {
		return err
	}
	models, err := c.models()
	if err != nil {
		return err
	}
	weights := store.New(store.Settings{Rate: c.StoreRate, FullSpeed: c.StoreFull, AdapterFullSpeed: c.AdaptersFull})
	var engines []*engine.Engine
	for i := range c.Count {
		s := engine.Settings{
			ID: fleet.BackendID(c.ID), Network: n, Address: c.Listen, Place: c.place(), Entries: c.Entries,
			Incarnation: newIncarnation(), Memory: fleet.Bytes(c.MemoryGiB) * fleet.GiB, Slots: c.Slots,
			ChecksFence: c.ChecksFence, TokenInterval: c.Interval, Store: weights, Models: models, Seed: c.Seed + uint64(i),
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
		fmt.Fprintf(c.run.Out, "engine %s listens on %s\n", s.ID, e.Address())
	}
	<-c.run.ctx.Done()
	var errs []error
	for _, e := range engines {
		errs = append(errs, e.Leave())
	}
	return errors.Join(append(errs, closeAll(engines))...)
}

// models returns the models of the document, none without one.
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
	run *runtime

	placeOptions
	Services []string      `long:"service" required:"true" description:"name of a service that it offers; may be repeated"`
	Delay    time.Duration `long:"delay" default:"20ms" description:"time of one call"`
}

// Execute runs the service until the context ends.
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
	fmt.Fprintf(c.run.Out, "service %s listens on %s\n", s.ID, v.Address())
	<-c.run.ctx.Done()
	err = errors.Join(v.Leave(), v.Close())
	counts := v.Counts()
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(c.run.Out, "%s %d\n", key, counts[key])
	}
	return err
}
