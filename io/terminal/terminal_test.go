package terminal

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/core/config"
	"toucanway/io/internal/certificates"
	"toucanway/io/operators/operatorstest"
	"toucanway/io/settings"
)

var update = flag.Bool("update", false, "write golden files")

func document(memory, deadline string) string {
	return fmt.Sprintf(`owners:
  operators:
    ana: {credentials: ["%s"]}
    budi: {credentials: ["%s"]}
  sections: {owners: [ana], limits: [ana], capacity: [ana], models: [budi]}
models:
  chat: {versions: [v1], memory: %s, kv-bytes-per-token: 1KiB, load-times: {memory: 1s, disk: 2s, remote: 3s}}
limits:
  default-deadline: %s
`, config.HashToken("", "token-ana"), config.HashToken("", "token-budi"), memory, deadline)
}

const hostSettings = `id: h1
region: west
data-centre: west-1
listen: {callers: "127.0.1.1:7400", hosts: "127.0.1.1:7401", operators: "127.0.1.1:7402"}
seeds: ["127.0.2.1:7401"]
`

// commandRunner runs commands in an empty folder against a server on which a first document is in force.
type commandRunner struct {
	t          *testing.T
	system     *operatorstest.System
	server     *operatorstest.Server
	servedHost string
}

func newCommandRunner(t *testing.T) *commandRunner {
	t.Helper()
	t.Chdir(t.TempDir())
	r := &commandRunner{t: t, system: operatorstest.New()}
	r.server = operatorstest.Serve(t, r.system, config.Operator{ID: "ana", Credentials: []config.Credential{config.HashToken("", "token-ana")}})
	r.write("first.yaml", document("1GiB", "20s"))
	out, code := r.run("ana", "submit", "first.yaml")
	require.Equal(t, ExitDone, code, out)
	return r
}

func (r *commandRunner) write(name, text string) {
	require.NoError(r.t, os.WriteFile(name, []byte(text), 0o600))
}

// run runs one command and returns its standard output followed by its standard error output, and its exit code.
func (r *commandRunner) run(operator string, args ...string) (string, ExitCode) {
	var out, errOut bytes.Buffer
	code := Run(r.t.Context(), Environment{
		Stdout: &out, Stderr: &errOut, Dial: r.server.Dial, Version: "1.2.3",
		Serve: func(_ context.Context, s *settings.Settings) error {
			r.servedHost = string(s.ID)
			return nil
		},
	}, append([]string{"--address=" + operatorstest.AddressDown, "--address=" + operatorstest.AddressUp, "--token=token-" + operator}, args...))
	return out.String() + errOut.String(), code
}

func (r *commandRunner) require(code ExitCode, operator string, args ...string) string {
	r.t.Helper()
	out, got := r.run(operator, args...)
	require.Equal(r.t, code, got, out)
	return out
}

// Guards against accidental changes of outputs and exit codes, which scripts depend on.
func TestGolden(t *testing.T) {
	golden, err := filepath.Abs("testdata")
	require.NoError(t, err)
	for name, tc := range map[string]struct {
		code ExitCode
		args []string
	}{
		"usage":             {ExitUsage, []string{"status", "--nothing"}},
		"no-command":        {ExitUsage, nil},
		"check":             {ExitDone, []string{"check", "first.yaml", "--settings=host.yaml"}},
		"check-invalid":     {ExitInvalid, []string{"check", "bad.yaml", "--settings=bad-host.yaml"}},
		"check-json":        {ExitInvalid, []string{"--output=json", "check", "bad.yaml"}},
		"show":              {ExitDone, []string{"show"}},
		"show-history":      {ExitDone, []string{"show", "--history"}},
		"show-json":         {ExitDone, []string{"--output=json", "show", "--history"}},
		"diff":              {ExitCheck, []string{"diff", "--check", "changed.yaml"}},
		"diff-same":         {ExitDone, []string{"diff", "--check", "first.yaml"}},
		"status":            {ExitDone, []string{"status"}},
		"status-check-json": {ExitCheck, []string{"status", "--check", "--output=json"}},
		"runners":           {ExitDone, []string{"runners"}},
		"runners-json":      {ExitDone, []string{"--output=json", "runners"}},
		"models":            {ExitDone, []string{"models"}},
		"models-chat":       {ExitDone, []string{"models", "chat"}},
		"models-json":       {ExitDone, []string{"--output=json", "models"}},
		"models-unknown":    {ExitFailed, []string{"models", "chat", "nothing"}},
		"drain":             {ExitDone, []string{"drain", "--runner=e1"}},
		"drain-unknown":     {ExitFailed, []string{"--output=json", "drain", "--host=gone"}},
		"drain-usage":       {ExitUsage, []string{"drain"}},
		"watch":             {ExitDone, []string{"watch", "--count=1"}},
		"watch-json":        {ExitDone, []string{"watch", "--count=1", "--output=json"}},
		"version":           {ExitDone, []string{"version"}},
		"serve-invalid":     {ExitInvalid, []string{"serve", "--settings=bad-host.yaml"}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newCommandRunner(t)
			r.write("bad.yaml", document("1", "20"))
			r.write("changed.yaml", document("2GiB", "20"))
			r.write("host.yaml", hostSettings)
			r.write("bad-host.yaml", strings.Replace(hostSettings, "7402", "7401", 1))
			out := r.require(tc.code, "ana", tc.args...)
			file := filepath.Join(golden, name+".golden")
			if *update {
				require.NoError(t, os.MkdirAll(golden, 0o755))
				require.NoError(t, os.WriteFile(file, []byte(out), 0o600))
			}
			want, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, string(want), out)
		})
	}
}

// Guards against a rebase that loses another operator's change or submits in spite of a conflict.
func TestSubmitRebase(t *testing.T) {
	r := newCommandRunner(t)
	r.require(ExitDone, "ana", "show", "--file=ana.yaml")
	r.require(ExitDone, "budi", "show", "--file=budi.yaml")
	r.write("ana.yaml", document("1GiB", "25s"))
	r.write("budi.yaml", document("2GiB", "20s"))
	require.Contains(t, r.require(ExitDone, "ana", "submit", "ana.yaml"), "version 2 is in force, changed sections: limits")
	out := r.require(ExitConflict, "budi", "submit", "budi.yaml")
	require.Contains(t, out, "other operators changed limits")
	require.Contains(t, out, "submit --rebase")
	r.require(ExitDone, "budi", "submit", "--rebase", "budi.yaml")
	require.Equal(t, document("2GiB", "25s"), r.system.Newest().Text)
	text, err := readFile("budi.yaml")
	require.NoError(t, err)
	require.Equal(t, r.system.Newest().Text, text, "the file holds the merged document")

	r.write("budi.yaml", document("3GiB", "25s"))
	r.require(ExitDone, "budi", "submit", "budi.yaml")
	r.write("ana.yaml", document("4GiB", "25s"))
	require.Contains(t, r.require(ExitConflict, "ana", "submit", "--rebase", "ana.yaml"), "sections changed on both sides: models")
	require.Equal(t, document("3GiB", "25s"), r.system.Newest().Text)
}

// Guards against a repeated submission that is rejected as a conflict with itself.
func TestRepeatedSubmissionAfterLostAnswer(t *testing.T) {
	for name, args := range map[string][]string{"plain": {"submit", "ana.yaml"}, "rebase": {"submit", "--rebase", "ana.yaml"}} {
		t.Run(name, func(t *testing.T) {
			r := newCommandRunner(t)
			r.require(ExitDone, "ana", "show", "--file=ana.yaml")
			r.write("ana.yaml", document("1GiB", "25s"))
			r.system.LoseNextAnswer()
			r.require(ExitOutcomeUnknown, "ana", args...)
			r.write("budi.yaml", document("2GiB", "25s"))
			r.require(ExitDone, "budi", "submit", "--base=2", "budi.yaml")
			require.Contains(t, r.require(ExitDone, "ana", args...), "version 2 had been accepted before")
			require.Equal(t, document("2GiB", "25s"), r.system.Newest().Text)
		})
	}
}

// Guards against wrong exit codes, from which scripts determine what to do.
func TestExitCodes(t *testing.T) {
	r := newCommandRunner(t)
	r.write("changed.yaml", document("1GiB", "25s"))
	r.write("bad.yaml", document("1", "25s"))
	r.write("host.yaml", hostSettings)
	for name, tc := range map[string]struct {
		code     ExitCode
		operator string
		args     []string
	}{
		"not an owner": {ExitNotAllowed, "budi", []string{"submit", "--base=1", "changed.yaml"}},
		"wrong token":  {ExitNotAllowed, "eve", []string{"status"}},
		"invalid":      {ExitInvalid, "ana", []string{"submit", "--base=1", "bad.yaml"}},
		"no base":      {ExitConflict, "ana", []string{"submit", "changed.yaml"}},
		"newer base":   {ExitConflict, "ana", []string{"submit", "--base=9", "changed.yaml"}},
		"no base text": {ExitUsage, "ana", []string{"submit", "--rebase", "--base=7", "changed.yaml"}},
		"missing file": {ExitFailed, "ana", []string{"submit", "nothing.yaml"}},
		"no file":      {ExitUsage, "ana", []string{"check"}},
		"served":       {ExitDone, "ana", []string{"serve", "--settings=host.yaml"}},
	} {
		t.Run(name, func(t *testing.T) { r.require(tc.code, tc.operator, tc.args...) })
	}
	require.Equal(t, "h1", r.servedHost)
	// The width of the help text depends on the terminal, so there is no golden file for it.
	require.Contains(t, r.require(ExitDone, "ana", "submit", "--help"), "--rebase")
	var out bytes.Buffer
	code := Run(t.Context(), Environment{Stdout: &out, Stderr: &out, Dial: r.server.Dial}, []string{"--address=" + operatorstest.AddressDown, "status"})
	require.Equal(t, ExitUnavailable, code, out.String())
	require.Len(t, ExitCodes(), int(ExitCheck)+1)
}

// Guards against a client that does not use TLS, or that sends the token to a host whose certificate it cannot verify.
func TestTLS(t *testing.T) {
	host, other := certificates.New(t), certificates.New(t)
	files := settings.Files{Certificate: settings.File(host.Certificate), Key: settings.File(host.Key), Authority: settings.File(host.Certificate)}
	reloader, err := settings.NewReloader(settings.ReloaderSettings{Files: files})
	require.NoError(t, err)
	first := config.Operator{ID: "ana", Credentials: []config.Credential{config.HashToken("", "token-ana")}}
	r := &commandRunner{t: t, system: operatorstest.New()}
	r.server = operatorstest.ServeTLS(t, r.system, first, reloader.Server())
	pair := []string{"--certificate=" + host.Certificate, "--key=" + host.Key}
	for name, tc := range map[string]struct {
		code ExitCode
		args []string
	}{
		"both sides verified": {ExitDone, append(pair, "--authority="+host.Certificate)},
		"other authority":     {ExitUnavailable, append(pair, "--authority="+other.Certificate)},
		"no certificate":      {ExitUnavailable, []string{"--authority=" + host.Certificate}},
		"plain TCP":           {ExitUnavailable, nil},
		"missing file":        {ExitFailed, []string{"--authority=nothing.pem"}},
	} {
		t.Run(name, func(t *testing.T) {
			r.t = t
			r.require(tc.code, "ana", append([]string{"runners"}, tc.args...)...)
		})
	}
}

// Guards against bounds that are shown as met although their state is unknown.
func TestStatusWithoutLeader(t *testing.T) {
	var out bytes.Buffer
	printStatus(&out, statusAnswer{})
	require.Contains(t, out.String(), "no leader answered")
	require.NotContains(t, out.String(), "all bounds are met")
}
