package terminal

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"toucanway/io/controlapi"
)

type accounts struct {
	*program
	controllers
	Over bool `long:"over" description:"List only accounts of which requests were refused in the last seconds."`
}

// accountsAnswer is what accounts prints with --output=json.
type accountsAnswer struct {
	Configuration  uint64        `json:"configuration"`
	CountedSeconds float64       `json:"counted-s"`
	Accounts       []accountLine `json:"accounts"`
}

// accountLine is one client account of an accountsAnswer.
type accountLine struct {
	Name string `json:"name"`
	Keys int    `json:"keys"`
	// Priority is nil if the priorities of routes count.
	Priority *int `json:"priority,omitempty"`
	// Unit is empty if there is no quota.
	Unit        string  `json:"unit,omitempty"`
	Rate        float64 `json:"rate-per-s,omitempty"`
	Burst       float64 `json:"burst,omitempty"`
	Lent        float64 `json:"lent,omitempty"`
	UsedRate    float64 `json:"used-per-s,omitempty"`
	RefusedRate float64 `json:"refused-per-s,omitempty"`
	Used        float64 `json:"used,omitempty"`
	Refused     float64 `json:"refused,omitempty"`
}

// Execute prints the client accounts as the leader of the control group sees them.
func (c *accounts) Execute([]string) error {
	g, err := c.group(c.env.SettingsFile)
	if err != nil {
		return err
	}
	res, err := callLeader[controlapi.AccountsRequest, controlapi.AccountsResponse](c.program, g, controlapi.ProcedureAccounts, &controlapi.AccountsRequest{})
	if err != nil {
		return err
	}
	a := accountsAnswer{Configuration: uint64(res.Configuration), CountedSeconds: res.Counted.Seconds(), Accounts: []accountLine{}}
	for i := range res.Accounts {
		if !c.Over || res.Accounts[i].RefusedRate > 0 {
			a.Accounts = append(a.Accounts, newAccountLine(&res.Accounts[i]))
		}
	}
	return c.print(a, func(w io.Writer) { printAccounts(w, a) })
}

func newAccountLine(s *controlapi.AccountState) accountLine {
	l := accountLine{
		Name: string(s.Account), Keys: s.Keys, Rate: s.Rate, Burst: s.Burst, Lent: s.Lent, UsedRate: s.UsedRate, RefusedRate: s.RefusedRate,
		Used: s.Used, Refused: s.Refused,
	}
	if s.HasPriority {
		l.Priority = &s.Priority
	}
	switch {
	case s.Rate <= 0:
	case s.Tokens:
		l.Unit = "tokens"
	default:
		l.Unit = "requests"
	}
	return l
}

func printAccounts(w io.Writer, a accountsAnswer) {
	counted := time.Duration(a.CountedSeconds * float64(time.Second)).Round(time.Second)
	fmt.Fprintf(w, "configuration %d, use and refusals counted for %v\n", a.Configuration, counted)
	fmt.Fprintln(w, "ACCOUNT\tKEYS\tPRIORITY\tUNIT\tRATE/S\tBURST\tLENT\tUSED/S\tREFUSED/S\tUSED\tREFUSED")
	for _, l := range a.Accounts {
		priority := "-"
		if l.Priority != nil {
			priority = strconv.Itoa(*l.Priority)
		}
		fmt.Fprintf(w, "%s\t%d\t%s\t%s", l.Name, l.Keys, priority, cmp.Or(l.Unit, "-"))
		if l.Unit == "" {
			fmt.Fprintln(w, strings.Repeat("\t-", 7))
			continue
		}
		for _, v := range []float64{l.Rate, l.Burst, l.Lent, l.UsedRate, l.RefusedRate, l.Used, l.Refused} {
			fmt.Fprintf(w, "\t%s", strconv.FormatFloat(math.Round(10*v)/10, 'f', -1, 64))
		}
		fmt.Fprintln(w)
	}
}
