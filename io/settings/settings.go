package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap/zapcore"

	"toucanway/core/config"
	"toucanway/core/fleet"
	"toucanway/core/schema"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("settings")

// ErrUnreadable reports a settings file, or a file named in the settings, that cannot be read.
var ErrUnreadable = Errors.NewType("unreadable")

// Settings are the settings of one host.
type Settings struct {
	ID            fleet.HostID     `key:"id,required" doc:"Name of the host; it is unique in the deployment and must not change."`
	Region        fleet.Region     `key:"region,required" doc:"Region of the host, as declared in the configuration document."`
	DataCentre    fleet.DataCentre `key:"data-centre,required" doc:"Data centre of the host, as declared in the configuration document."`
	Rack          fleet.Rack       `key:"rack" doc:"Rack of the host."`
	Listen        Listen           `key:"listen,required" doc:"Addresses that the host listens on; the address for hosts is also the source address of its connections."`
	DataFolder    Folder           `key:"data-folder" pattern:".*" doc:"Folder for the logs and snapshots of a voter; needed when the host is one of the voters."`
	Voters        []Voter          `key:"voters" doc:"Voters of the control group and the ledger groups, each with its host id and its address for hosts. One, three or five, the same on every host."`
	Seeds         []Address        `key:"seeds" doc:"Addresses of a few hosts (their listen.hosts) that are contacted first; needed on a host without voters."`
	LedgerGroups  int              `key:"ledger-groups" default:"2" min:"1" max:"64" doc:"Groups that the ledger is divided into, the same on every host."`
	TLS           TLS              `key:"tls" doc:"TLS files of each interface; an interface without them uses plain TCP."`
	Logs          []Log            `key:"logs" doc:"Log level by subsystem: debug, info, warn or error. The level of default applies to all subsystems that are not listed."`
	DrainBound    time.Duration    `key:"drain-bound" default:"120s" min:"1s" max:"1h" doc:"Longest time of a graceful shutdown on this host; limits.drain-bound of the document applies if it is shorter."`
	FirstOperator FirstOperator    `key:"first-operator" doc:"Operator that may submit the first document, while none is in force."`
}

// Folder is a path of a folder.
type Folder string

// Address is an IP address with a port; names are not resolved.
type Address string

// AddrPort returns the decoded address.
func (a Address) AddrPort() netip.AddrPort {
	p, err := netip.ParseAddrPort(string(a))
	if err != nil {
		return netip.AddrPort{}
	}
	return p
}

// Listen are the addresses of the interfaces.
type Listen struct {
	Callers   Address `key:"callers,required" doc:"IP:PORT for callers and backend servers."`
	Hosts     Address `key:"hosts,required" doc:"IP:PORT for other hosts."`
	Operators Address `key:"operators,required" doc:"IP:PORT for operators, metrics and profiles."`
}

// Voter is a voting member of the control group and the ledger groups.
type Voter struct {
	ID      fleet.HostID `key:"@name"`
	Address Address      `key:"@value" doc:"Address for hosts (listen.hosts) of the voter NAME."`
}

// TLS are the TLS files of the interfaces.
type TLS struct {
	Callers   Files `key:"callers" doc:"Files of the interface for callers."`
	Hosts     Files `key:"hosts" doc:"Files of the interface for hosts."`
	Operators Files `key:"operators" doc:"Files of the interface for operators."`
}

// Files are the TLS files of one interface.
type Files struct {
	Certificate File `key:"certificate" pattern:".+" doc:"PEM file with the certificate chain."`
	Key         File `key:"key" pattern:".+" doc:"PEM file with the private key."`
	Authority   File `key:"authority" pattern:".+" doc:"PEM file with the certificate authorities of peers. If it is set, peers must present a certificate."`
}

// File is a path of a file.
type File string

// Log is the level of one subsystem.
type Log struct {
	Subsystem Subsystem     `key:"@name"`
	Level     zapcore.Level `key:"@value" doc:"Level of the subsystem NAME."`
}

// Subsystem is the name of a part of the daemon that has its own log level.
type Subsystem string

// Subsystems of the daemon. LogDefault stands for those that are not listed in the settings.
const (
	LogDefault    Subsystem = "default"
	LogControl    Subsystem = "control"
	LogRaft       Subsystem = "raft"
	LogLedger     Subsystem = "ledger"
	LogMembership Subsystem = "membership"
	LogCapacity   Subsystem = "capacity"
	LogPlacement  Subsystem = "placement"
	LogCallers    Subsystem = "callers"
	LogEngines    Subsystem = "engines"
	LogServices   Subsystem = "services"
	LogHosts      Subsystem = "hosts"
	LogOperators  Subsystem = "operators"
	LogDisk       Subsystem = "disk"
)

// Subsystems returns all subsystems.
func Subsystems() []Subsystem {
	return []Subsystem{
		LogDefault, LogControl, LogRaft, LogLedger, LogMembership, LogCapacity, LogPlacement, LogCallers, LogEngines,
		LogServices, LogHosts, LogOperators, LogDisk,
	}
}

// FirstOperator is the operator who may submit the first document of a deployment.
type FirstOperator struct {
	ID         fleet.OperatorID  `key:"id" doc:"Operator id, as the first document declares it."`
	Credential config.Credential `key:"credential" doc:"Hash of the operator's bearer token."`
}

// Kinds returns the parsers of the scalar types that settings use.
func Kinds() schema.Kinds {
	kinds := config.Kinds()
	kinds[schema.TypeOf[Address]()] = schema.Kind{Label: "an address, IP:PORT, e.g. 10.0.1.7:7400", Parse: parseAddress}
	kinds[schema.TypeOf[File]()] = schema.Kind{Label: "a path of a file", Parse: func(s string) (any, error) { return File(s), nil }}
	kinds[schema.TypeOf[Folder]()] = schema.Kind{Label: "a path of a folder", Parse: func(s string) (any, error) { return Folder(s), nil }}
	kinds[schema.TypeOf[zapcore.Level]()] = schema.Enum(map[string]zapcore.Level{
		"debug": zapcore.DebugLevel, "info": zapcore.InfoLevel, "warn": zapcore.WarnLevel, "error": zapcore.ErrorLevel,
	}, "debug", "info", "warn", "error")
	subsystems, names := map[string]Subsystem{}, []string{}
	for _, s := range Subsystems() {
		subsystems[string(s)] = s
		names = append(names, string(s))
	}
	kinds[schema.TypeOf[Subsystem]()] = schema.Enum(subsystems, names...)
	return kinds
}

func parseAddress(text string) (any, error) {
	p, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return nil, fmt.Errorf("is not IP:PORT")
	case p.Addr().IsUnspecified():
		return nil, fmt.Errorf("does not name a single interface")
	case p.Port() == 0:
		return nil, fmt.Errorf("has port 0")
	}
	return Address(p.String()), nil
}

// Load reads and checks a settings file.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, ErrUnreadable.Wrap(err, "settings cannot be read; name the file with --settings")
	}
	s, problems := Parse(file, string(text))
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// Parse decodes and checks settings. The file name is only used in problems. If there are problems, the settings are nil.
func Parse(file, text string) (*Settings, schema.Problems) {
	var s Settings
	src := schema.Decode(file, text, &s, schema.Options{Kinds: Kinds()})
	s.check(src)
	if problems := src.Problems(); len(problems) > 0 {
		return nil, problems
	}
	return &s, nil
}

func (s *Settings) check(src *schema.Source) {
	listen := map[Address]string{}
	for _, l := range []struct {
		key     string
		address Address
	}{{"callers", s.Listen.Callers}, {"hosts", s.Listen.Hosts}, {"operators", s.Listen.Operators}} {
		if other, dup := listen[l.address]; dup && l.address != "" {
			src.Report([]string{"listen", l.key}, fmt.Sprintf("listen.%s and listen.%s have the same address", other, l.key), "give each its own port")
		}
		listen[l.address] = l.key
	}
	s.checkVoters(src)
	for _, t := range []struct {
		key   string
		files Files
	}{{"callers", s.TLS.Callers}, {"hosts", s.TLS.Hosts}, {"operators", s.TLS.Operators}} {
		if f := t.files; (f.Certificate == "") != (f.Key == "") || f.Authority != "" && f.Key == "" {
			src.Report([]string{"tls", t.key}, fmt.Sprintf("tls.%s is incomplete", t.key), "give both certificate and key")
		}
	}
	if f := s.FirstOperator; (f.ID == "") != (f.Credential == "") {
		src.Report([]string{"first-operator"}, "first-operator is incomplete", "give both id and credential")
	}
}

func (s *Settings) checkVoters(src *schema.Source) {
	switch len(s.Voters) {
	case 0:
		if len(s.Seeds) == 0 {
			src.Report(nil, "neither voters nor seeds are given", "list the voters, or the addresses of a few other hosts as seeds")
		}
	case 1, 3, 5:
	default:
		src.Report([]string{"voters"}, fmt.Sprintf("%d voters are given", len(s.Voters)), "list one, three or five voters")
	}
	addresses := map[Address]fleet.HostID{}
	for _, v := range s.Voters {
		if other, dup := addresses[v.Address]; dup && v.Address != "" {
			src.Report([]string{"voters", string(v.ID)}, fmt.Sprintf("voters %q and %q have the same address", other, v.ID), "give each voter its listen.hosts address")
		}
		addresses[v.Address] = v.ID
		if v.ID != s.ID {
			continue
		}
		if s.DataFolder == "" {
			src.Report([]string{"voters", string(v.ID)}, "the host is a voter and has no data-folder", "set data-folder to a folder on a local disk")
		}
		if v.Address != s.Listen.Hosts && v.Address != "" && s.Listen.Hosts != "" {
			src.Report([]string{"voters", string(v.ID)}, fmt.Sprintf("the voter's address %s is not listen.hosts %s", v.Address, s.Listen.Hosts), "use the same address in both places")
		}
	}
}

// IsVoter reports whether the host is a voter.
func (s *Settings) IsVoter() bool {
	return slices.ContainsFunc(s.Voters, func(v Voter) bool { return v.ID == s.ID })
}

// Place returns the location of the host.
func (s *Settings) Place() fleet.Place {
	return fleet.Place{Region: s.Region, DataCentre: s.DataCentre, Rack: s.Rack}
}
