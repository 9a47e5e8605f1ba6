package main

import (
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"toucanway/io/metrics"
)

// logLine is one call of a logger in the source.
type logLine struct {
	pkg, level, message string
	fields              []string
}

// source collects the metrics and log calls that the packages under a folder declare.
type source struct {
	metrics *metrics.Registry
	lines   []logLine

	// pkg is the package being read and constants are the values of its string constants by name.
	pkg       string
	constants map[string]string
	// err is the first error.
	err error
}

// readSource parses the packages under a folder, except for tests and for packages whose name ends in test.
func readSource(folder string) (*source, error) {
	s := &source{metrics: metrics.New(metrics.Options{})}
	packages := map[string][]*ast.File{}
	err := filepath.WalkDir(folder, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err == nil && !strings.HasSuffix(f.Name.Name, "test") {
			packages[f.Name.Name] = append(packages[f.Name.Name], f)
		}
		return err
	})
	if err != nil {
		return nil, err
	}
	for name, files := range packages {
		s.pkg, s.constants = name, map[string]string{}
		for _, f := range files {
			ast.Inspect(f, s.recordConstants)
		}
		for _, f := range files {
			ast.Inspect(f, s.recordCall)
		}
	}
	slices.SortFunc(s.lines, func(a, b logLine) int {
		return cmp.Or(strings.Compare(a.message, b.message), strings.Compare(a.pkg, b.pkg), strings.Compare(a.level, b.level),
			slices.Compare(a.fields, b.fields))
	})
	return s, s.err
}

// recordConstants records the values of the string constants of a declaration.
func (s *source) recordConstants(n ast.Node) bool {
	spec, ok := n.(*ast.ValueSpec)
	if !ok {
		return true
	}
	for i, name := range spec.Names {
		if i < len(spec.Values) {
			if text, ok := literal(spec.Values[i]); ok {
				s.constants[name.Name] = text
			}
		}
	}
	return true
}

// recordCall records the metric or log line that a call declares, if it does.
func (s *source) recordCall(n ast.Node) bool {
	c, ok := n.(*ast.CallExpr)
	if !ok || len(c.Args) == 0 {
		return true
	}
	f, ok := c.Fun.(*ast.SelectorExpr)
	if !ok {
		return true
	}
	if x, ok := f.X.(*ast.Ident); ok && x.Name == "zap" {
		return true // a call that creates a field of a log line
	}
	switch f.Sel.Name {
	case "Counter", "Gauge", "GaugeFunc", "GaugeFuncs", "Histogram":
		s.declareMetric(f.Sel.Name, c.Args)
	case "Debug", "Info", "Warn", "Error":
		s.recordLogLine(f.Sel.Name, c.Args)
	}
	return true
}

// declareMetric declares the metric of a call in the registry. The first two strings among the arguments are its name and help,
// the others are its labels.
func (s *source) declareMetric(kind string, args []ast.Expr) {
	if len(args) < 2 {
		return
	}
	var text []string
	for _, a := range args {
		if v, ok := s.stringValue(a); ok {
			text = append(text, v)
		}
	}
	if len(text) < 2 {
		s.recordError("a metric of package %s has no constant name and help", s.pkg)
		return
	}
	name, help, labels := text[0], text[1], text[2:]
	switch kind {
	case "Counter":
		s.metrics.Counter(name, help, labels...)
	case "Gauge", "GaugeFuncs":
		s.metrics.Gauge(name, help, labels...)
	case "GaugeFunc":
		s.metrics.GaugeFunc(name, help, func() int64 { return 0 })
	case "Histogram":
		unit := metrics.UnitCount
		if u, ok := args[2].(*ast.SelectorExpr); ok {
			unit = map[string]metrics.Unit{"UnitDuration": metrics.UnitDuration, "UnitBytes": metrics.UnitBytes}[u.Sel.Name]
		}
		s.metrics.Histogram(name, help, unit, labels...)
	}
}

// recordLogLine records a call of a logger with its message and fields.
func (s *source) recordLogLine(level string, args []ast.Expr) {
	name, ok := args[0].(*ast.Ident)
	if !ok || s.constants[name.Name] == "" {
		s.recordError("a log message of package %s is not a constant of the package", s.pkg)
		return
	}
	l := logLine{pkg: s.pkg, level: strings.ToLower(level), message: s.constants[name.Name]}
	for _, a := range args[1:] {
		c, ok := a.(*ast.CallExpr)
		if !ok {
			continue
		}
		field := "error"
		if len(c.Args) > 1 {
			field, _ = s.stringValue(c.Args[0])
		}
		l.fields = append(l.fields, field)
	}
	s.lines = append(s.lines, l)
}

// stringValue returns the value of a string literal or of a string constant of the package.
func (s *source) stringValue(e ast.Expr) (string, bool) {
	if name, ok := e.(*ast.Ident); ok {
		v, ok := s.constants[name.Name]
		return v, ok
	}
	return literal(e)
}

func literal(e ast.Expr) (string, bool) {
	l, ok := e.(*ast.BasicLit)
	if !ok || l.Kind != token.STRING {
		return "", false
	}
	text, err := strconv.Unquote(l.Value)
	return text, err == nil
}

// recordError records an error unless there is an earlier one.
func (s *source) recordError(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}
