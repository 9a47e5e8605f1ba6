package script

import (
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// Command carries out one line of a script, given the words after its name.
type Command func(ts *testscript.TestScript, words []string) error

// scriptPattern is the file pattern of the scripts below a package's folder.
const scriptPattern = "testdata/*.txtar"

// ForEach calls f for each script in a parallel subtest.
func ForEach(t *testing.T, f func(t *testing.T, file string)) {
	files, err := filepath.Glob(scriptPattern)
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts found as %s: %v", scriptPattern, err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txtar"), func(t *testing.T) {
			t.Parallel()
			f(t, file)
		})
	}
}

// Run runs the script of a file in the calling test, which may be a synctest bubble.
func Run(t *testing.T, file string, commands map[string]Command) {
	cmds := make(map[string]func(*testscript.TestScript, bool, []string), len(commands))
	for name, c := range commands {
		cmds[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			err := c(ts, words)
			switch {
			case neg && err == nil:
				ts.Fatalf("command succeeded unexpectedly")
			case !neg && err != nil:
				ts.Fatalf("%v", err)
			}
		}
	}
	testscript.RunT(sameTest{t}, testscript.Params{Files: []string{file}, Cmds: cmds})
}

// sameTest makes testscript run a script in the current test, since a subtest would leave the synctest bubble.
type sameTest struct{ *testing.T }

// Parallel does nothing, since the test is already running.
func (sameTest) Parallel() {}

// Verbose reports whether the test's log is shown.
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
