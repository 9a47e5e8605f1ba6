package terminal

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/jessevdk/go-flags"

	"toucanway/core/config"
	"toucanway/core/control"
	"toucanway/core/schema"
	"toucanway/io/operators"
	"toucanway/io/settings"
)

type check struct {
	*program
	Settings flags.Filename `long:"settings" value-name:"FILE" description:"Settings file to check."`
	Args     struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Configuration document to check."`
	} `positional-args:"yes"`
}

// checkAnswer is what check prints for a valid document.
type checkAnswer struct {
	Valid    bool `json:"valid"`
	Models   int  `json:"models"`
	Adapters int  `json:"adapters"`
	Callers  int  `json:"callers"`
	Services int  `json:"services"`
}

// Execute checks the given files and reports the problems of all of them.
func (c *check) Execute([]string) error {
	if c.Args.File == "" && c.Settings == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "name a document, --settings=FILE or both"}
	}
	var all schema.Problems
	answer := checkAnswer{Valid: true}
	if c.Settings != "" {
		text, err := readFile(string(c.Settings))
		if err != nil {
			return err
		}
		_, problems := settings.Parse(string(c.Settings), text)
		all = append(all, problems...)
	}
	if c.Args.File != "" {
		text, err := readFile(string(c.Args.File))
		if err != nil {
			return err
		}
		d, problems := config.Parse(string(c.Args.File), text)
		all = append(all, problems...)
		if d != nil {
			answer.Models, answer.Callers, answer.Services = len(d.Models), len(d.Callers.Callers), len(d.Services)
			for i := range d.Models {
				answer.Adapters += len(d.Models[i].Adapters)
			}
		}
	}
	if len(all) > 0 {
		return all
	}
	return c.print(answer, func(w io.Writer) {
		fmt.Fprintf(w, "valid: %d models, %d adapters, %d callers, %d services\n", answer.Models, answer.Adapters, answer.Callers, answer.Services)
	})
}

type show struct {
	*program
	File    flags.Filename `long:"file" value-name:"FILE" description:"File to write the document to, together with FILE.base."`
	History bool           `long:"history" description:"List the accepted documents that are still on record instead."`
}

// Execute prints the document in force.
func (c *show) Execute([]string) error {
	if c.History {
		_, err := callAndPrint(c.program, func(cl *operators.Client) (operators.HistoryAnswer, error) { return cl.History(c.ctx) }, printHistory)
		return err
	}
	if c.File == "" {
		_, err := callAndPrint(c.program, func(cl *operators.Client) (operators.DocumentAnswer, error) { return cl.Document(c.ctx) },
			func(w io.Writer, a operators.DocumentAnswer) { fmt.Fprint(w, a.Text) })
		return err
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	d, err := cl.Document(c.ctx)
	if err != nil {
		return err
	}
	if err := replaceFile(string(c.File), []byte(d.Text)); err != nil {
		return err
	}
	if err := (base{Version: d.Version, Digest: d.Digest, Text: d.Text}).write(string(c.File)); err != nil {
		return err
	}
	d.Text = ""
	return c.print(d, func(w io.Writer) { fmt.Fprintf(w, "version %d written to %s\n", d.Version, c.File) })
}

type diff struct {
	*program
	Check bool `long:"check" description:"Exit with code 8 if there is a difference."`
	Args  struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Configuration document to compare."`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the difference from the document in force.
func (c *diff) Execute([]string) error {
	text, err := readFile(string(c.Args.File))
	if err != nil {
		return err
	}
	var inForce operators.DocumentAnswer
	a, err := callAndPrint(c.program, func(cl *operators.Client) (operators.DiffAnswer, error) {
		var err error
		if inForce, err = cl.Document(c.ctx); err != nil {
			return operators.DiffAnswer{}, err
		}
		return cl.Diff(c.ctx, operators.DiffRequest{Text: text})
	}, func(w io.Writer, a operators.DiffAnswer) { printDiff(w, inForce, a) })
	if err == nil && c.Check && len(a.Hunks) > 0 {
		return errCheck
	}
	return err
}

type submit struct {
	*program
	Base   *uint64 `long:"base" value-name:"VERSION" description:"Version that the document was edited from; needed if there is no FILE.base. 0 submits the first document."`
	Rebase bool    `long:"rebase" description:"Apply the change to the document in force if other operators changed other sections, and update FILE."`
	Args   struct {
		File flags.Filename `positional-arg-name:"FILE" description:"Configuration document to submit."`
	} `positional-args:"yes" required:"yes"`
}

// rebaseAttempts bounds the submissions with --rebase while other operators keep submitting.
const rebaseAttempts = 5

// Execute submits the document.
func (c *submit) Execute([]string) error {
	file := string(c.Args.File)
	mine, err := readFile(file)
	if err != nil {
		return err
	}
	if _, problems := config.Parse(file, mine); len(problems) > 0 {
		return problems
	}
	from, err := readBase(file)
	if err != nil {
		return err
	}
	if c.Base != nil && *c.Base != from.Version {
		from = base{Version: *c.Base}
	}
	if c.Rebase && from.Version > 0 && from.Text == "" {
		return &flags.Error{Type: flags.ErrRequired, Message: "--rebase needs the text of the base; write it with show --file before the change"}
	}
	cl, err := c.client()
	if err != nil {
		return err
	}
	defer cl.Close()
	text, a, err := c.send(cl, from, mine)
	if err != nil {
		return err
	}
	if text != mine {
		if err := replaceFile(file, []byte(text)); err != nil {
			return err
		}
	}
	if err := (base{Version: a.Version, Digest: control.Digest(text), Text: text}).write(file); err != nil {
		return err
	}
	return c.print(a, func(w io.Writer) { printSubmit(w, a) })
}

// send submits the document. With --rebase, it applies the change to newer documents after conflicts. It returns the
// submitted text.
func (c *submit) send(cl *operators.Client, from base, mine string) (string, operators.SubmitAnswer, error) {
	a, err := cl.Submit(c.ctx, submission(from, mine))
	for attempt := 1; c.Rebase && isConflict(err) && attempt < rebaseAttempts; attempt++ {
		current, getErr := cl.Document(c.ctx)
		if getErr != nil {
			return "", a, getErr
		}
		merged, rebaseErr := config.Rebase(from.Text, mine, current.Text)
		if rebaseErr != nil {
			return "", a, rebaseErr
		}
		from, mine = base{Version: current.Version, Text: current.Text}, merged
		a, err = cl.Submit(c.ctx, submission(from, mine))
	}
	return mine, a, err
}

// submission returns a request with the changed lines if the text of the base is known, otherwise with the whole text.
func submission(from base, text string) operators.SubmitRequest {
	if from.Text == "" || from.Text == text {
		return operators.SubmitRequest{Base: from.Version, Text: text}
	}
	r := operators.SubmitRequest{Base: from.Version, Digest: control.Digest(text)}
	for _, h := range config.Diff(from.Text, text).Hunks {
		r.Hunks = append(r.Hunks, operators.HunkRequest{Start: h.Start, End: h.End, Lines: h.Lines})
	}
	return r
}

func isConflict(err error) bool {
	var answered *operators.Error
	return errors.As(err, &answered) && answered.Code == operators.CodeConflict
}

func printSubmit(w io.Writer, a operators.SubmitAnswer) {
	switch {
	case a.Unchanged:
		fmt.Fprintf(w, "version %d is in force with the same text\n", a.Version)
	case a.Repeated:
		fmt.Fprintf(w, "version %d had been accepted before, changed sections: %s\n", a.Version, strings.Join(a.Sections, ", "))
	default:
		fmt.Fprintf(w, "version %d is in force, changed sections: %s\n", a.Version, strings.Join(a.Sections, ", "))
	}
	if len(a.ExpiredHosts) > 0 {
		fmt.Fprintf(w, "not confirmed by hosts whose lease expired, which take no new work: %s\n", strings.Join(a.ExpiredHosts, ", "))
	}
}

func printHistory(w io.Writer, a operators.HistoryAnswer) {
	fmt.Fprintln(w, "VERSION\tBASE\tOPERATOR\tDIGEST\tSECTIONS")
	for _, d := range a.Documents {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", d.Version, d.Base, d.Operator, d.Digest, strings.Join(d.Sections, ","))
	}
}

// printDiff prints the difference, including the replaced lines unless the document changed between the two answers.
func printDiff(w io.Writer, inForce operators.DocumentAnswer, a operators.DiffAnswer) {
	var before []string
	if inForce.Version == a.Version {
		before = control.SplitLines(inForce.Text)
	}
	if len(a.Hunks) == 0 {
		fmt.Fprintf(w, "no difference from version %d\n", a.Version)
	}
	for _, h := range a.Hunks {
		fmt.Fprintf(w, "at line %d of version %d:\n", h.Start+1, a.Version)
		if h.End <= len(before) {
			for _, l := range before[h.Start:h.End] {
				fmt.Fprintf(w, "- %s\n", strings.TrimSuffix(l, "\n"))
			}
		}
		for _, l := range h.Lines {
			fmt.Fprintf(w, "+ %s\n", strings.TrimSuffix(l, "\n"))
		}
	}
	if len(a.Sections) > 0 {
		fmt.Fprintf(w, "changed sections: %s\n", strings.Join(a.Sections, ", "))
	}
	if len(a.NotOwned) > 0 {
		fmt.Fprintf(w, "sections of other owners: %s\n", strings.Join(a.NotOwned, ", "))
	}
	for _, p := range a.Problems {
		fmt.Fprintln(w, p.String())
	}
}
