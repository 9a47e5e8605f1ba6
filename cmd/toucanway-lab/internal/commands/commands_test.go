package commands

import (
	"context"
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/cmd/toucanway-lab/internal/experiment"
	"toucanway/cmd/toucanway-lab/internal/report"
)

// fakeExperiment is an experiment whose value is the length of the variant's name.
type fakeExperiment struct{}

func (fakeExperiment) Run(_ context.Context, v experiment.Variant, _ uint64) (report.VariantResult, error) {
	return report.VariantResult{Values: map[string]float64{"idle hours": float64(len(v))}}, nil
}

type fakeDemo struct{}

func (fakeDemo) Run(_ context.Context, _ uint64, out io.Writer) error {
	_, err := io.WriteString(out, "shown\n")
	return err
}

// Guards against commands that cannot be parsed, wrong exit codes, and simulated backend servers that keep running
// after their context is cancelled.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cases := map[string]struct {
		args   string
		code   int
		output string
	}{
		"help":               {args: "--help", output: "experiment"},
		"help of a command":  {args: "load --help", output: "--organisation"},
		"unknown command":    {args: "fly", code: exitUsage, output: "fly"},
		"missing option":     {args: "engine --id e", code: exitUsage, output: "entry"},
		"bad address":        {args: "engine --id e --entry 127.0.0.1:1 --listen x", code: exitFailed, output: "IP:PORT"},
		"engine":             {args: "engine --id e --entry 127.0.0.1:1 --count 2", code: exitFailed, output: "engine e-2 listens on 127.0.0.1:"},
		"service":            {args: "service --id s --entry 127.0.0.1:1 --service orders", code: exitFailed, output: "service s listens on"},
		"load":               {args: "load --host 127.0.0.1:1", output: "kopi, rate 20/s"},
		"experiment":         {args: "experiment keep-warm --seed 3 --seed 4", output: "idle hours"},
		"unknown experiment": {args: "experiment other", code: exitFailed, output: "keep-warm"},
		"demo":               {args: "demo", output: "shown"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			code := Run(ctx, Settings{
				Args: strings.Fields(c.args), Out: &out, Err: &out, Demo: fakeDemo{},
				Experiments: []experiment.Experiment{{Name: "keep-warm", Baseline: "a", Change: "bb", Runner: fakeExperiment{}}},
			})
			require.Equal(t, c.code, code, out.String())
			require.Contains(t, out.String(), c.output)
		})
	}
	var out strings.Builder
	require.Equal(t, exitFailed, Run(ctx, Settings{Args: []string{"demo"}, Out: &out, Err: &out}))
	require.Contains(t, out.String(), "not linked")
}
