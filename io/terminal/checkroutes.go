package terminal

import (
	"fmt"
	"io"

	"github.com/jessevdk/go-flags"

	"toucanway/core/fleet"
	"toucanway/core/quota"
	"toucanway/core/routes"
	"toucanway/core/routes/lint"
	"toucanway/io/controlapi"
	"toucanway/io/operators"
	"toucanway/io/settings"
)

type checkRoutes struct {
	*program
	Against        flags.Filename `long:"against" value-name:"FILE" description:"Configuration to compare with, for instance the one in force as it was sent."`
	From           []string       `long:"from" value-name:"IP:PORT" description:"Compare with the configuration in force, which is read from a controller at its address for other hosts, with the port hosts-port of its settings; repeat the option to give more."`
	Settings       flags.Filename `long:"settings" value-name:"FILE" description:"Settings file of a host, for the bounds by which quotas may be exceeded; by default they may not."`
	LargestRequest int            `long:"largest-request" default:"0" value-name:"TOKENS" description:"Tokens of the largest request that callers send; 0 means what an engine can hold."`
	Check          bool           `long:"check" description:"Exit with code 8 if there is a warning or a difference."`
	Args           struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Configuration to check, as it is sent to controllers."`
	} `positional-args:"yes" required:"yes"`
}

// routesAnswer is what check-routes prints with --output=json.
type routesAnswer struct {
	Version  uint64         `json:"version"`
	Routes   int            `json:"routes"`
	Services int            `json:"services"`
	Accounts int            `json:"accounts"`
	Findings []lint.Finding `json:"findings"`
	// Against is the version that the configuration was compared with, nil without one.
	Against *uint64       `json:"against,omitempty"`
	Changes []lint.Change `json:"changes"`
}

// errorCount returns the number of findings for which controllers refuse the configuration.
func (a *routesAnswer) errorCount() int {
	n := 0
	for _, f := range a.Findings {
		if f.Severity == lint.Error {
			n++
		}
	}
	return n
}

// Execute checks the configuration and compares it with another one.
func (c *checkRoutes) Execute([]string) error {
	if c.Against != "" && len(c.From) > 0 {
		return &flags.Error{Type: flags.ErrInvalidChoice, Message: "use --against or --from, not both"}
	}
	checks, err := c.checks()
	if err != nil {
		return err
	}
	cfg, findings, err := c.read(c.Args.File)
	if err != nil {
		return err
	}
	a := routesAnswer{
		Version: uint64(cfg.Version), Routes: len(cfg.Routes), Services: len(cfg.Services), Accounts: len(cfg.Accounts),
		Findings: append(lint.Check(cfg, checks), findings...), Changes: []lint.Change{},
	}
	before, err := c.other()
	if err != nil {
		return err
	}
	if before != nil {
		version := uint64(before.Version)
		a.Against, a.Changes = &version, append(a.Changes, lint.Compare(before, cfg)...)
		if len(a.Changes) > 0 && before.Version >= cfg.Version {
			a.Findings = append(a.Findings, lint.Finding{
				Severity: lint.Warning, Place: "version", Message: fmt.Sprintf("%d is not above %d, so that the changes take no effect", cfg.Version, before.Version),
				Remedy: "raise it",
			})
		}
	}
	if err := c.print(a, func(w io.Writer) { printRoutes(w, &a) }); err != nil {
		return err
	}
	switch {
	case a.errorCount() > 0:
		return &operators.Error{Code: operators.CodeInvalidDocument, Message: "controllers refuse this configuration; correct the errors"}
	case c.Check && len(a.Findings)+len(a.Changes) > 0:
		return errCheck
	default:
		return nil
	}
}

// checks returns the settings of the checks.
func (c *checkRoutes) checks() (lint.Settings, error) {
	out := lint.Settings{LargestRequest: fleet.Tokens(c.LargestRequest)}
	if c.Settings == "" {
		return out, nil
	}
	s, err := settings.LoadRouted(string(c.Settings))
	if err != nil {
		return out, err
	}
	t := quota.Tolerance{Window: s.Bounds.QuotaWindow, Overshoot: s.Bounds.QuotaOvershoot, Slack: s.Bounds.QuotaSlack}
	out.QuotaLimit = t.LargestRequest
	return out, nil
}

// read reads and decodes a configuration from a file.
func (c *checkRoutes) read(file flags.Filename) (*routes.Configuration, []lint.Finding, error) {
	text, err := readFile(string(file))
	if err != nil {
		return nil, nil, err
	}
	cfg, findings, err := c.env.InspectRoutes([]byte(text))
	if err != nil {
		return nil, nil, &operators.Error{Code: operators.CodeInvalidDocument, Message: string(file) + ": " + err.Error()}
	}
	return cfg, findings, nil
}

// other returns the configuration to compare with, or nil.
func (c *checkRoutes) other() (*routes.Configuration, error) {
	if c.Against != "" {
		cfg, _, err := c.read(c.Against)
		return cfg, err
	}
	if len(c.From) == 0 {
		return nil, nil
	}
	g, err := parseGroup(c.From)
	if err != nil {
		return nil, err
	}
	res, err := callLeader[controlapi.ReadRequest, controlapi.ReadResponse](c.program, g, controlapi.ProcedureRead, &controlapi.ReadRequest{})
	if err != nil {
		return nil, err
	}
	if res.Version == 0 {
		return &routes.Configuration{}, nil
	}
	data, err := controlapi.Decompress(res.Data)
	if err != nil {
		return nil, err
	}
	cfg, _, err := c.env.InspectRoutes(data)
	return cfg, err
}

func printRoutes(w io.Writer, a *routesAnswer) {
	for _, f := range a.Findings {
		fmt.Fprintln(w, f)
	}
	for _, c := range a.Changes {
		fmt.Fprintf(w, "change: %v\n", c)
	}
	errs := a.errorCount()
	fmt.Fprintf(w, "version %d: %d routes, %d services, %d accounts, %d errors, %d warnings", a.Version, a.Routes, a.Services, a.Accounts, errs, len(a.Findings)-errs)
	if a.Against != nil {
		fmt.Fprintf(w, ", %d changes from version %d", len(a.Changes), *a.Against)
	}
	fmt.Fprintln(w)
}
