package script

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// Command carries out one line of a script, given the words after its name.
type Command func(ts *testscript.TestScript, words []string) error

// folder holds the scripts below a package's folder, one file each.
const folder = "testdata/*.txtar"

// Each calls f for every script in a test of its own, all at the same time.
func Each(t *testing.T, f func(t *testing.T, file string)) {
	files, err := filepath.Glob(folder)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found as %s: %v", folder, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			f(t, file)
		})
	}
}

// Play plays the script of a file in the test that it is called from, which may be a bubble of synthetic time.
func Play(t *testing.T, file string, commands map[string]Command) {
	cmds := make(map[string]func(*testscript.TestScript, bool, []string), len(commands))
	for name, c := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			err := c(ts, words)
			switch {
			case neg && err == nil:
				ts.Fatalf("command succeeded and should fail")
			case !neg && err != nil:
				ts.Fatalf("%v", err)
			}
		}
	}
	testscript.RunT(sameTest{t}, testscript.Params{Files: []string{file}, Cmds: cmds})
}

// sameTest makes testscript run a script without a test below the present one, which would leave the bubble.
type sameTest struct{ *testing.T }

// Parallel does nothing, since the test is already under way.
func (sameTest) Parallel() {}

// Verbose says whether the test's log is shown.
func (sameTest) Verbose() bool { return testing.Verbose() }

// Run runs f in the same test.
func (s sameTest) Run(_ string, f func(testscript.T)) { f(s) }

// Parse splits words into arguments and options of the form KEY=VALUE.
func Parse(words []string) (args []string, options map[string]string) {
	options = map[string]string{}
	for _, word := range words {
		if k, v, ok := strings.Cut(word, "="); ok {
			options[k] = v
		} else {
			args = append(args, word)
		}
	}
	return args, options
}
