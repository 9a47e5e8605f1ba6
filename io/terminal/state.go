package terminal

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"

	"toucanway/core/fleet"
	"toucanway/core/schema"
	"toucanway/io/operators"
	"toucanway/io/settings"
)

func seconds(n int) time.Duration { return time.Duration(n) * time.Second }

type serve struct {
	*program
	Settings flags.Filename `long:"settings" required:"yes" value-name:"FILE" description:"Settings file of the host."`
}

// Execute runs the daemon.
func (c *serve) Execute([]string) error {
	s, err := settings.Load(string(c.Settings))
	if err != nil {
		return err
	}
	return c.env.Serve(c.ctx, s)
}

type status struct {
	*program
	Check bool `long:"check" description:"Exit with code 8 if a bound is not met or no leader answers."`
}

// statusAnswer is what status prints.
type statusAnswer struct {
	operators.StatusAnswer
	Members []operators.HostAnswer `json:"members"`
}

// Execute prints the state of the deployment.
func (c *status) Execute([]string) error {
	a, err := callAndPrint(c.program, func(cl *operators.Client) (statusAnswer, error) {
		s, err := cl.Status(c.ctx)
		if err != nil {
			return statusAnswer{}, err
		}
		h, err := cl.Hosts(c.ctx)
		return statusAnswer{StatusAnswer: s, Members: h.Hosts}, err
	}, printStatus)
	if err == nil && c.Check && (a.Leader == "" || len(a.Unmet) > 0) {
		return errCheck
	}
	return err
}

func printStatus(w io.Writer, a statusAnswer) {
	fmt.Fprintf(w, "document\tversion %d, digest %s\n", a.Version, a.Digest)
	fmt.Fprintf(w, "asked host\t%s, applied %d, lease %s\n", a.Host, a.Applied, validity(a.LeaseValid))
	fmt.Fprintf(w, "leader\t%s\n", orNone(a.Leader))
	fmt.Fprintf(w, "replicas\t%d ready, %d loading, %d in doubt\n", a.ReadyReplicas, a.LoadingReplicas, a.InDoubtReplicas)
	fmt.Fprintf(w, "backend servers\t%d\n", a.BackendServers)
	fmt.Fprintf(w, "waiting requests\t%d\n", a.Waiting)
	fmt.Fprintln(w, "\nHOST\tREGION\tDATA CENTRE\tADDRESS\tLEASE\tVERSION\tOWNED\tWAITING\tNOTES")
	for _, h := range a.Members {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", h.ID, h.Region, h.DataCentre, h.Address, validity(h.LeaseValid),
			h.Version, h.Owned, h.Waiting, joinNotes(map[string]bool{"draining": h.Draining, "leader": h.Leader, "voter": h.Voter}))
	}
	if a.Leader == "" {
		fmt.Fprintln(w, "\nno leader answered: bounds and the hosts' leases are not known")
		return
	}
	if len(a.Unmet) == 0 {
		fmt.Fprintln(w, "\nall bounds are met")
		return
	}
	fmt.Fprintln(w, "\nUNMET BOUND\tSUBJECT\tWANT\tHAVE\tREASON")
	for _, u := range a.Unmet {
		fmt.Fprintf(w, "%s.%s\t%s\t%s\t%s\t%s\n", u.Section, u.Bound, u.Subject, u.Want, u.Have, u.Reason)
	}
}

func validity(valid bool) string {
	if valid {
		return "valid"
	}
	return "expired"
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// joinNotes returns the names whose value is true, sorted.
func joinNotes(all map[string]bool) string {
	var out []string
	for name, applies := range all {
		if applies {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return orNone(strings.Join(out, ","))
}

type runners struct {
	*program
}

// Execute lists backend servers.
func (c *runners) Execute([]string) error {
	_, err := callAndPrint(c.program, func(cl *operators.Client) (operators.BackendsAnswer, error) { return cl.Backends(c.ctx) }, printBackends)
	return err
}

func printBackends(w io.Writer, a operators.BackendsAnswer) {
	fmt.Fprintln(w, "BACKEND SERVER\tKIND\tREGION\tDATA CENTRE\tSTATE\tOWNER\tMEMORY\tUSED\tSLOTS\tRUNNING\tQUEUED\tHOLDS")
	for _, b := range a.Backends {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", b.ID, b.Kind, b.Region, b.DataCentre, b.State, orNone(b.Owner),
			size(b.Memory), size(b.Used), b.Slots, b.Running, b.Queued, orNone(strings.Join(slices.Concat(b.Models, b.Services), ",")))
	}
}

func size(bytes int64) string { return schema.FormatBytes(fleet.Bytes(bytes)) }

type models struct {
	*program
	Args struct {
		Names []string `positional-arg-name:"MODEL" description:"Models to show with their adapters; by default all models without adapters."`
	} `positional-args:"yes"`
}

// Execute lists models.
func (c *models) Execute([]string) error {
	_, err := callAndPrint(c.program, func(cl *operators.Client) (operators.ModelsAnswer, error) {
		a, err := cl.Models(c.ctx)
		if err != nil || len(c.Args.Names) == 0 {
			return a, err
		}
		a.Models = slices.DeleteFunc(a.Models, func(m operators.ModelAnswer) bool { return !slices.Contains(c.Args.Names, m.ID) })
		if len(a.Models) < len(c.Args.Names) {
			return a, &operators.Error{Code: operators.CodeUnknown, Message: "some of the models are not declared; toucanway models lists all"}
		}
		return a, nil
	}, c.printModels)
	return err
}

func (c *models) printModels(w io.Writer, a operators.ModelsAnswer) {
	fmt.Fprintln(w, "MODEL\tVERSION\tMEMORY\tTARGET\tBOUNDS\tWAITING\tADAPTERS\tREPLICAS")
	for _, m := range a.Models {
		replicas := make([]string, len(m.Replicas))
		for i, r := range m.Replicas {
			replicas[i] = r.BackendServer + "=" + r.State
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d..%d\t%d\t%d of %d\t%s\n", m.ID, m.Version, size(m.Memory), m.Target, m.MinReplicas,
			m.MaxReplicas, m.Waiting, len(m.LoadedAdapters), m.DeclaredAdapters, orNone(strings.Join(replicas, ",")))
	}
	if len(c.Args.Names) == 0 {
		return
	}
	fmt.Fprintln(w, "\nLOADED ADAPTER\tMEMORY\tBACKEND SERVERS")
	for _, m := range a.Models {
		for _, ad := range m.LoadedAdapters {
			fmt.Fprintf(w, "%s:%s\t%s\t%s\n", m.ID, ad.ID, size(ad.Memory), strings.Join(ad.BackendServers, ","))
		}
	}
}

type drain struct {
	*program
	Host   string `long:"host" value-name:"ID" description:"Host to drain."`
	Runner string `long:"runner" value-name:"ID" description:"Backend server to drain."`
}

// Execute starts a drain.
func (c *drain) Execute([]string) error {
	if (c.Host == "") == (c.Runner == "") {
		return &flags.Error{Type: flags.ErrRequired, Message: "name either --host or --runner"}
	}
	_, err := callAndPrint(c.program, func(cl *operators.Client) (operators.DrainAnswer, error) {
		return cl.Drain(c.ctx, operators.DrainRequest{Host: c.Host, BackendServer: c.Runner})
	}, func(w io.Writer, a operators.DrainAnswer) { fmt.Fprintf(w, "%s is draining\n", a.Draining) })
	return err
}

type watch struct {
	*program
	After uint64 `long:"after" value-name:"INDEX" description:"Log index after which changes are printed; 0 prints all on record."`
	Count int    `long:"count" value-name:"N" description:"Exit after this many changes."`
}

var errCountReached = errors.New("the requested number of changes was printed")

// Execute prints changes but no heartbeats.
func (c *watch) Execute([]string) error {
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	seen := 0
	err = cl.Watch(c.ctx, c.After, func(e operators.EventAnswer) error {
		if e.Kind == string(operators.EventHeartbeat) {
			return nil
		}
		if err := c.printLine(e); err != nil {
			return err
		}
		if seen++; seen == c.Count {
			return errCountReached
		}
		return nil
	})
	if errors.Is(err, errCountReached) || c.ctx.Err() != nil {
		return nil
	}
	return err
}

// printLine prints one change on one line in both output formats, so that scripts can read line by line.
func (c *watch) printLine(e operators.EventAnswer) error {
	if c.global.Output == "json" {
		return json.NewEncoder(c.env.Stdout).Encode(e)
	}
	_, err := fmt.Fprintln(c.env.Stdout, e.Index, e.Kind, e.Subject, e.Detail)
	return err
}

type version struct {
	*program
}

// versionAnswer is what version prints.
type versionAnswer struct {
	Version string `json:"version"`
}

// Execute prints the version.
func (c *version) Execute([]string) error {
	return c.print(versionAnswer{Version: c.env.Version}, func(w io.Writer) { fmt.Fprintf(w, "toucanway %s\n", c.env.Version) })
}
