package experiment

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"toucanway/cmd/toucanway-lab/internal/load"
	"toucanway/cmd/toucanway-lab/internal/report"
)

// Variant names one way to run the system.
type Variant string

// Runner starts the system in a variant with simulated backend servers, applies the load of the seed, and returns the
// measurements.
type Runner interface {
	Run(ctx context.Context, v Variant, seed uint64) (report.VariantResult, error)
}

// Experiment compares a changed variant of the system with a baseline.
type Experiment struct {
	Name string
	// Question is the question that the experiment answers, as one sentence.
	Question         string
	Baseline, Change Variant
	Runner           Runner
	// Plotted are name prefixes of the values that are plotted relative to the baseline.
	Plotted []string
}

// Simulation is an experiment in simulated time that compares policies in a model of the system.
type Simulation struct {
	Name string
	// Run returns a result that prints as a table and can be encoded as JSON.
	Run func(seed uint64) (fmt.Stringer, error)
}

// ErrUnknown is the error for a name that is not an experiment.
var ErrUnknown = errors.New("no such experiment")

// Find returns the experiment with a name.
func Find(all []Experiment, name string) (Experiment, error) {
	for _, e := range all {
		if e.Name == name {
			return e, nil
		}
	}
	names := make([]string, 0, len(all))
	for _, e := range all {
		names = append(names, e.Name)
	}
	return Experiment{}, fmt.Errorf("%w: %q; choose one of: %s", ErrUnknown, name, strings.Join(names, ", "))
}

// Run runs both variants once for each seed, alternating which goes first, and returns a comparison for each seed.
func (e *Experiment) Run(ctx context.Context, seeds []uint64) ([]report.Comparison, error) {
	var out []report.Comparison
	for i, seed := range seeds {
		order := []Variant{e.Baseline, e.Change}
		if i%2 == 1 {
			slices.Reverse(order)
		}
		byVariant := map[Variant]report.VariantResult{}
		for _, v := range order {
			result, err := e.Runner.Run(ctx, v, seed)
			if err != nil {
				return out, fmt.Errorf("experiment %s, variant %s, seed %d: %w", e.Name, v, seed, err)
			}
			result.Name = string(v)
			byVariant[v] = result
		}
		out = append(out, report.Comparison{
			Title: fmt.Sprintf("%s, seed %d", e.Name, seed), Baseline: byVariant[e.Baseline], Change: byVariant[e.Change],
		})
	}
	return out, nil
}

// Write writes the tables to w and, unless directory is empty, the results as JSON and plots into the directory.
func (e *Experiment) Write(w io.Writer, directory string, results []report.Comparison) error {
	for i := range results {
		if err := results[i].Table().WriteText(w); err != nil {
			return err
		}
		for _, variant := range []report.VariantResult{results[i].Baseline, results[i].Change} {
			for _, note := range variant.Notes {
				fmt.Fprintf(w, "%s: %s\n", variant.Name, note)
			}
		}
	}
	if directory == "" {
		return nil
	}
	if err := WriteResults(directory, e.Name, results); err != nil {
		return err
	}
	for i := range results {
		name := fmt.Sprintf("%s-%d-first-token-p99.png", e.Name, i+1)
		err := writeFile(filepath.Join(directory, name), func(w io.Writer) error {
			return results[i].LatencyBars(w, "first token p99", func(s load.Summary) float64 { return s.FirstToken.P99 })
		})
		if err != nil {
			return err
		}
		if len(e.Plotted) == 0 {
			continue
		}
		err = writeFile(filepath.Join(directory, fmt.Sprintf("%s-%d-measures.png", e.Name, i+1)), func(w io.Writer) error {
			return results[i].RatioBars(w, e.Plotted...)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// WriteResults writes results as JSON into a directory, which it creates if needed. It does nothing if directory is empty.
func WriteResults(directory, name string, results any) error {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return writeFile(filepath.Join(directory, name+".json"), func(w io.Writer) error { return report.WriteJSON(w, results) })
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(write(f), f.Close())
}
