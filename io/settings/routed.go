package settings

import (
	"os"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/schema"
)

// Routed are the settings of one host of a deployment that forwards requests by routes.
type Routed struct {
	Host            string             `key:"host,required" doc:"Name of the host in log lines."`
	IP              fleet.HostID       `key:"ip,required" doc:"IP address of the host, which identifies it to other hosts."`
	Region          fleet.Region       `key:"region,required" doc:"Region of the host."`
	DataCentre      fleet.DataCentre   `key:"data-centre,required" doc:"Data centre of the host."`
	DataCentres     []DataCentreRegion `key:"data-centres" doc:"All data centres with their regions."`
	Listen          RoutedListen       `key:"listen,required" doc:"Addresses that the host listens on."`
	HostsPort       int                `key:"hosts-port,required" min:"1" max:"65535" doc:"Port for other hosts, the same on every host."`
	Seeds           []Address          `key:"seeds,required" doc:"Addresses of a few hosts of the control group, through which the others are found. At the first start these are its first members."`
	Bootstrap       bool               `key:"bootstrap" doc:"Whether the deployment starts for the first time, with empty disks everywhere."`
	DataFolder      Folder             `key:"data-folder" pattern:".*" doc:"Folder for the log and snapshots of a member of the control group."`
	Memory          fleet.Bytes        `key:"memory" doc:"Memory that the process may use; above four fifths of it memory is reclaimed more often. Without it there is no such limit."`
	Cores           float64            `key:"cores" default:"0" min:"0" doc:"Processor cores that the process may use, with a fraction. Without it the host counts as an average one."`
	Descriptors     int                `key:"descriptors" default:"0" min:"0" doc:"File descriptors that the process may use; 0 if not known."`
	LinkMbps        float64            `key:"link-mbps" default:"0" min:"0" doc:"Bandwidth of the host's link in Mbit/s; 0 if not known."`
	ToleratedLosses int                `key:"tolerated-losses" default:"1" min:"0" max:"4" doc:"Members of the control group that may be lost at once."`
	Bounds          RoutedBounds       `key:"bounds" doc:"Times and limits that callers, backend servers and engines rely on."`
}

// DataCentreRegion is a data centre and its region.
type DataCentreRegion struct {
	DataCentre fleet.DataCentre `key:"@name"`
	Region     fleet.Region     `key:"@value" doc:"Region of the data centre NAME."`
}

// RoutedListen are the addresses of a host's interfaces; gateway and controller each need some of them.
type RoutedListen struct {
	Callers   Address `key:"callers" doc:"IP:PORT for callers; needed by a gateway."`
	Ready     Address `key:"ready" doc:"IP:PORT that reports whether a gateway accepts callers."`
	Control   Address `key:"control" doc:"IP:PORT for backend servers and operators; needed by a controller."`
	Directory Address `key:"directory" doc:"IP:PORT for callers that ask which gateways to use; needed by a controller."`
	Metrics   Address `key:"metrics" doc:"IP:PORT for metrics."`
	Hosts     Address `key:"hosts" doc:"IP:PORT for other hosts, if it is not ip with hosts-port, for instance behind a NAT."`
}

// RoutedBounds are times and ratios that callers, backend servers and engines rely on.
type RoutedBounds struct {
	GracePeriod       time.Duration `key:"grace" default:"8s" doc:"Longest time of a graceful shutdown after a signal to stop."`
	OrderHandover     time.Duration `key:"order-handover" default:"3s" doc:"Time to wait before sending orders to engines that another host has sent orders to before."`
	AddressLifetime   time.Duration `key:"address-lifetime" default:"5s" doc:"Longest time for which callers cache the address of a gateway."`
	ConfigurationTime time.Duration `key:"configuration-in-force" default:"2.5s" min:"100ms" doc:"Time after its acknowledgement from which a configuration must be in force on every gateway. One that hears nothing of the control group for longer doesn't say that a route doesn't exist."`
	RepeatRatio       float64       `key:"repeat-ratio" default:"0.2" min:"0" max:"10" doc:"Ratio of requests that may be sent again to all requests."`
	RepeatSlack       float64       `key:"repeat-slack" default:"50" min:"0" max:"100000" doc:"Requests that may be sent again in each window in addition to the ratio, over all hosts together."`
	RepeatWindow      time.Duration `key:"repeat-window" default:"10s" doc:"Window of the allowance for repeats."`
	KeyRevocation     time.Duration `key:"key-revocation" default:"0s" doc:"Time after the acknowledgement of a configuration without a key from which no request with the key may run. A gateway that hears nothing of the control group for nearly as long refuses requests with keys. 0s means that there is no bound."`
	QuotaWindow       time.Duration `key:"quota-window" default:"8s" min:"1s" doc:"Window in which the requests of a client account are counted against its quota."`
	QuotaOvershoot    float64       `key:"quota-overshoot" default:"0.1" min:"0" max:"1" doc:"Share by which requests may exceed a quota in a window, over all hosts together."`
	QuotaSlack        float64       `key:"quota-slack" default:"0" min:"0" doc:"Units by which requests may exceed a quota in a window beyond quota-overshoot, over all hosts together."`
}

// LoadRouted reads and checks a settings file.
func LoadRouted(file string) (*Routed, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "settings cannot be read; name the file with --settings")
	}
	s, problems := ParseRouted(file, string(text))
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// ParseRouted decodes and checks settings. The file name is only used in problems. If there are problems, the settings
// are nil.
func ParseRouted(file, text string) (*Routed, schema.Problems) {
	var s Routed
	src := schema.Decode(file, text, &s, schema.Options{Kinds: Kinds()})
	if len(s.Seeds) == 0 {
		src.Report([]string{"seeds"}, "no seeds are given", "name a few hosts of the control group")
	}
	if s.Listen.Control != "" && s.DataFolder == "" {
		src.Report([]string{"data-folder"}, "a controller has no data-folder", "set data-folder to a folder on a local disk")
	}
	if problems := src.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

// Place returns the location of the host.
func (s *Routed) Place() fleet.Place { return fleet.Place{Region: s.Region, DataCentre: s.DataCentre} }

// Regions returns the region of each data centre, including the host's own.
func (s *Routed) Regions() map[fleet.DataCentre]fleet.Region {
	out := map[fleet.DataCentre]fleet.Region{s.DataCentre: s.Region}
	for _, l := range s.DataCentres {
		out[l.DataCentre] = l.Region
	}
	return out
}
