package terminal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"

	"toucanway/core/config"
	"toucanway/core/routes"
	"toucanway/core/routes/lint"
	"toucanway/core/schema"
	"toucanway/io/operators"
	"toucanway/io/settings"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("terminal")

// ErrFile reports a file that a command cannot read or write.
var ErrFile = Errors.NewType("file")

// Environment contains what the commands need from the process that runs them.
type Environment struct {
	Stdout, Stderr io.Writer
	// Serve runs the daemon until ctx ends.
	Serve func(ctx context.Context, s *settings.Settings) error
	// Gateway and Controller run the two parts of a deployment that forwards requests by routes until ctx ends.
	Gateway, Controller func(ctx context.Context, s *settings.Routed, file string) error
	// InspectRoutes decodes a configuration of such a deployment, and returns warnings on what the decoder ignores.
	InspectRoutes func(data []byte) (*routes.Configuration, []lint.Finding, error)
	// SettingsFile is the default settings file of a gateway or controller.
	SettingsFile string
	// Dial opens connections to hosts; nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Version is the version of the program.
	Version string
}

// ExitCode is the exit status of the program.
type ExitCode int

// Exit codes of the program.
const (
	ExitDone ExitCode = iota
	ExitFailed
	ExitUsage
	ExitInvalid
	ExitConflict
	ExitNotAllowed
	ExitUnavailable
	ExitOutcomeUnknown
	ExitCheck
)

// ExitCodes describes the exit codes in order.
func ExitCodes() []string {
	return []string{
		"done",
		"failed for a reason that has no code of its own",
		"the command line is not valid",
		"the document or the settings are not valid",
		"another operator changed the document since it was read",
		"the token is not valid or its operator does not own a section",
		"no host answered, or the host that answered cannot serve the request now",
		"the answer was lost; the request may have taken effect and is safe to repeat",
		"with --check: there is a difference or a warning, a bound is not met, or no leader answers",
	}
}

// Global are the options of every command.
type Global struct {
	Output    string   `long:"output" choice:"text" choice:"json" default:"text" description:"Output format."`
	Addresses []string `long:"address" env:"TOUCANWAY_ADDRESS" env-delim:"," default:"127.0.0.1:7402" value-name:"IP:PORT" description:"Operators' address of a host; repeat the option to give more hosts, which are tried in turn if the first cannot be reached."`
	Token     string   `long:"token" env:"TOUCANWAY_TOKEN" value-name:"TOKEN" description:"Operator's token. Use the environment variable to keep it out of the process list."`
	Timeout   int      `long:"timeout" default:"20" value-name:"SECONDS" description:"Timeout of a request to one host."`
	Authority string   `long:"authority" env:"TOUCANWAY_AUTHORITY" value-name:"FILE" description:"PEM file with the certificate authorities of the hosts; enables TLS."`
	Cert      string   `long:"certificate" env:"TOUCANWAY_CERTIFICATE" value-name:"FILE" description:"PEM file with the operator's certificate, for hosts that require one."`
	Key       string   `long:"key" env:"TOUCANWAY_KEY" value-name:"FILE" description:"PEM file with the key of the certificate."`
}

// program is one run of the command tree.
type program struct {
	ctx    context.Context
	env    Environment
	global Global
}

// errCheck means that a command with --check found something, which has already been printed.
var errCheck = errors.New("the check found a difference, a warning or an unmet bound")

// Run parses the arguments, without the program name, and executes one command.
func Run(ctx context.Context, env Environment, args []string) ExitCode {
	p := &program{ctx: ctx, env: env}
	_, err := p.parser().ParseArgs(args)
	if err == nil {
		return ExitDone
	}
	var usage *flags.Error
	if errors.As(err, &usage) {
		if usage.Type == flags.ErrHelp {
			fmt.Fprintln(env.Stdout, usage.Message)
			return ExitDone
		}
		fmt.Fprintf(env.Stderr, "toucanway: %s; see toucanway --help\n", strings.TrimSuffix(usage.Message, "\n"))
		return ExitUsage
	}
	if !errors.Is(err, errCheck) {
		p.printError(err)
	}
	return exitCode(err)
}

// Parser returns the command tree for the reference pages.
func Parser() *flags.Parser { return (&program{}).parser() }

func (p *program) parser() *flags.Parser {
	parser := flags.NewNamedParser("toucanway", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "serving system for rarely used language models"
	must(parser.AddGroup("Options", "", &p.global))
	for _, c := range p.commands() {
		must(parser.AddCommand(c.name, c.short, c.long, c.data))
	}
	return parser
}

// must panics if the definition of a command is invalid.
func must[T any](_ T, err error) {
	if err != nil {
		panic("terminal: " + err.Error())
	}
}

// command is one entry of the command tree.
type command struct {
	name, short, long string
	data              flags.Commander
}

func (p *program) commands() []command {
	return []command{
		{"serve", "Run the daemon of a host", "Runs the daemon of a host in the foreground until SIGTERM or SIGINT, which drain it; a further SIGINT stops it at once. Log lines are written to the standard error output as JSON.", &serve{program: p}},
		{"gateway", "Run a gateway", "Runs a host that forwards callers' HTTP requests to backend servers by routes, in the foreground until SIGTERM or SIGINT, which drain it. Log lines are written to the standard output as JSON.", &gateway{program: p}},
		{"controller", "Run a controller", "Runs a member of the control group of a deployment that forwards requests by routes, in the foreground until SIGTERM or SIGINT. Log lines are written to the standard output as JSON.", &controller{program: p}},
		{"accounts", "List the client accounts of a routed deployment", "Lists the client accounts of a deployment that forwards requests by routes, with priority, quota, the credit that is lent to gateways, use and refusals, as the leader of the control group sees them. Amounts are in units of the quota, refusals in requests. The rates cover the last seconds, the sums the time since the leader leads. Keys are not shown.", &accounts{program: p}},
		{"check", "Check files without a host", "Checks a configuration document, a settings file or both without a connection, and prints all problems with file, line, section and remedy.", &check{program: p}},
		{"check-routes", "Check a configuration of a routed deployment", "Checks a configuration of a deployment that forwards requests by routes before it is sent: errors for which controllers refuse it, entries that take no effect, limits that contradict each other, and with --against or --from the differences from another version. Keys are never printed.", &checkRoutes{program: p}},
		{"submit", "Submit a changed document", "Submits a document and waits until it is in force on every host whose lease is valid. The base is read from FILE.base, which show --file writes. Repeating a submission whose answer was lost is safe: it gets the first answer.", &submit{program: p}},
		{"show", "Show the document in force", "Prints the document in force, or writes it to a file together with its base, which submit uses to determine the changes.", &show{program: p}},
		{"diff", "Compare a document with the one in force", "Prints the sections and lines of a document that differ from the one in force, the changed sections that the operator does not own, and problems.", &diff{program: p}},
		{"status", "Show the state and unmet bounds", "Prints the state of the deployment as seen by the host that answers, its hosts, and the bounds of the document that are not met now with the reasons.", &status{program: p}},
		{"runners", "List backend servers", "Lists the registered backend servers: model engines and plain services.", &runners{program: p}},
		{"models", "List models, replicas and adapters", "Lists the models of the document in force with their replicas; with model names, only these models and their loaded adapters.", &models{program: p}},
		{"drain", "Drain a host or a backend server", "Starts the graceful shutdown of a host, or stops new work on a backend server. It needs ownership of the section capacity.", &drain{program: p}},
		{"watch", "Follow changes", "Prints changes of documents, hosts, backend servers and replicas as they are committed, until interrupted.", &watch{program: p}},
		{"version", "Print the version", "Prints the version of the program.", &version{program: p}},
	}
}

// client returns the operators' client for the global options.
func (p *program) client() (*operators.Client, error) {
	g := p.global
	cfg := operators.ClientSettings{Addresses: g.Addresses, Token: g.Token, Dial: p.env.Dial, Timeout: seconds(g.Timeout)}
	files := settings.Files{Certificate: settings.File(g.Cert), Key: settings.File(g.Key), Authority: settings.File(g.Authority)}
	if files != (settings.Files{}) {
		c, err := files.Client()
		if err != nil {
			return nil, err
		}
		cfg.TLS = c
	}
	return operators.NewClient(cfg), nil
}

// callAndPrint makes a call with the operators' client and prints the answer.
func callAndPrint[A any](p *program, call func(*operators.Client) (A, error), text func(w io.Writer, a A)) (A, error) {
	var zero A
	c, err := p.client()
	if err != nil {
		return zero, err
	}
	defer c.Close()
	a, err := call(c)
	if err != nil {
		return zero, err
	}
	return a, p.print(a, func(w io.Writer) { text(w, a) })
}

// print writes an answer as JSON or as text with aligned columns.
func (p *program) print(answer any, text func(w io.Writer)) error {
	if p.global.Output == "json" {
		enc := json.NewEncoder(p.env.Stdout)
		enc.SetIndent("", "  ")
		return enc.Encode(answer)
	}
	w := tabwriter.NewWriter(p.env.Stdout, 0, 0, 2, ' ', 0)
	text(w)
	return w.Flush()
}

func (p *program) printError(err error) {
	var answered *operators.Error
	if !errors.As(err, &answered) {
		answered = &operators.Error{Code: localCode(err), Message: err.Error()}
		errors.As(err, (*schema.Problems)(&answered.Problems))
		if len(answered.Problems) > 0 {
			answered.Message = "the file is not valid"
		}
	}
	if p.global.Output == "json" {
		enc := json.NewEncoder(p.env.Stderr)
		enc.SetIndent("", "  ")
		if enc.Encode(operators.ErrorAnswer{Error: *answered}) == nil {
			return
		}
	}
	if len(answered.Problems) > 0 {
		fmt.Fprintln(p.env.Stderr, schema.Problems(answered.Problems).Error())
		return
	}
	fmt.Fprintf(p.env.Stderr, "toucanway: %s\n", answered.Message)
}

// localCode returns the code of an error that is not the answer of a host.
func localCode(err error) operators.Code {
	var conflict *config.Conflict
	var unreachable *operators.Unreachable
	var problems schema.Problems
	switch {
	case errors.As(err, &conflict):
		return operators.CodeConflict
	case errors.As(err, &unreachable):
		return operators.CodeUnavailable
	case errors.As(err, &problems):
		return operators.CodeInvalidDocument
	default:
		return operators.CodeInternal
	}
}

func exitCode(err error) ExitCode {
	if errors.Is(err, errCheck) {
		return ExitCheck
	}
	code := localCode(err)
	var answered *operators.Error
	if errors.As(err, &answered) {
		code = answered.Code
	}
	switch code {
	case operators.CodeInvalidDocument, operators.CodeTooLarge, operators.CodeDigestMismatch:
		return ExitInvalid
	case operators.CodeConflict, operators.CodeUnknownBase:
		return ExitConflict
	case operators.CodeUnauthorized, operators.CodeNoFirstOperator, operators.CodeNotOwner:
		return ExitNotAllowed
	case operators.CodeUnavailable:
		return ExitUnavailable
	case operators.CodeOutcomeUnknown:
		return ExitOutcomeUnknown
	case operators.CodeBadRequest, operators.CodeNotFound, operators.CodeMethodNotAllowed, operators.CodeUnknown,
		operators.CodeRejected, operators.CodeInternal:
		return ExitFailed
	default:
		return ExitFailed
	}
}

// readFile reads a file given on the command line.
func readFile(name string) (string, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return "", ErrFile.Wrap(err, "file cannot be read; check its name")
	}
	return string(text), nil
}
