// Command docs generates the pages and examples that are derived from the source, or checks that the committed files are
// current.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"toucanway/cmd/toucanway-lab/internal/examples"
)

// generatedFolders contain only generated files. Any other file in them is stale.
var generatedFolders = [...]string{"docs/commands", "examples"}

func main() {
	root := flag.String("root", ".", "folder of the repository")
	write := flag.Bool("write", false, "write the files instead of checking them")
	flag.Parse()
	if err := run(*root, *write); err != nil {
		fmt.Fprintln(os.Stderr, "docs:", err)
		os.Exit(1)
	}
}

// generatedFiles returns the text of every generated file, by the path of the file from the root of the repository.
func generatedFiles(root string) (map[string]string, error) {
	out := examples.Files()
	maps.Copy(out, commandPages())
	out["docs/configuration.md"] = configurationPage()
	out["docs/settings.md"] = settingsPage()
	refusals, err := refusalsPage(filepath.Join(root, "core", "fleet", "refusal.go"))
	if err != nil {
		return nil, err
	}
	out["docs/refusals.md"] = refusals
	if out["docs/metrics.md"], err = observePage(filepath.Join(root, "io")); err != nil {
		return nil, err
	}
	return out, nil
}

// run writes the generated files and removes stale ones, or returns an error that names the files that are not current.
func run(root string, write bool) error {
	want, err := generatedFiles(root)
	if err != nil {
		return err
	}
	stale, err := surplusFiles(root, want)
	if err != nil {
		return err
	}
	if write {
		return writeAll(root, want, stale)
	}
	for _, name := range slices.Sorted(maps.Keys(want)) {
		got, err := os.ReadFile(filepath.Join(root, name))
		if err != nil || !bytes.Equal(got, []byte(want[name])) {
			stale = append(stale, name)
		}
	}
	if len(stale) > 0 {
		return fmt.Errorf("not current: %s; run .ci/generated --write", strings.Join(stale, ", "))
	}
	return nil
}

// surplusFiles returns the files in generatedFolders that are not in want.
func surplusFiles(root string, want map[string]string) ([]string, error) {
	var out []string
	for _, folder := range generatedFolders {
		err := filepath.WalkDir(filepath.Join(root, folder), func(path string, d fs.DirEntry, err error) error {
			if os.IsNotExist(err) {
				return nil
			}
			if err != nil || d.IsDir() {
				return err
			}
			name, err := filepath.Rel(root, path)
			if _, known := want[filepath.ToSlash(name)]; !known && err == nil {
				out = append(out, filepath.ToSlash(name))
			}
			return err
		})
		if err != nil {
			return nil, err
		}
	}
	return out, nil
}

func writeAll(root string, want map[string]string, stale []string) error {
	for _, name := range stale {
		if err := os.Remove(filepath.Join(root, name)); err != nil {
			return err
		}
	}
	for name, text := range want {
		path := filepath.Join(root, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
			return err
		}
	}
	return nil
}
