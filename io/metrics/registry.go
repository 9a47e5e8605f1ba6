package metrics

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// DefaultMaxLabelSets bounds the label sets of one metric. A histogram needs about 1.1 KB per label set, so 20 histograms
// with all label sets need about 11 MB of the 256 MB that a process may use.
const DefaultMaxLabelSets = 512

// Overflow is the value of all labels in the set that counts the label sets above the bound.
const Overflow = "other"

// Options are the settings of a registry.
type Options struct {
	// MaxLabelSets bounds the label sets of each metric; 0 means DefaultMaxLabelSets.
	MaxLabelSets int
}

// Registry holds the metrics of one host. It is safe for concurrent use.
type Registry struct {
	maxLabelSets int
	goMetrics    gometrics.Registry

	mu       sync.Mutex // locked before the mutex of a family
	families map[string]*family
}

// Unit is the unit of the values of a histogram.
type Unit int

// Units of histograms. Durations are recorded in nanoseconds and exposed in seconds.
const (
	UnitDuration Unit = iota
	UnitBytes
	UnitCount
)

// kind is the type of a metric; its values index the tables of type names.
type kind int

const (
	kindCounter kind = iota
	kindGauge
	kindHistogram
)

// family is one declared metric with its label sets.
type family struct {
	name, help string
	kind       kind
	unit       Unit
	labels     []string
	// bounds are the upper bounds of a histogram's buckets, shared by all its series.
	bounds       []int64
	maxLabelSets int
	goMetrics    gometrics.Registry

	mu          sync.RWMutex
	seriesByKey map[string]*series
	allSeries   []*series
}

// series is the metric for one set of label values.
type series struct {
	values []string
	metric any
}

// New returns an empty registry.
func New(o Options) *Registry {
	if o.MaxLabelSets <= 0 {
		o.MaxLabelSets = DefaultMaxLabelSets
	}
	return &Registry{maxLabelSets: o.MaxLabelSets, goMetrics: gometrics.NewRegistry(), families: map[string]*family{}}
}

// GoMetrics returns the underlying go-metrics registry, for reporters of that library.
func (r *Registry) GoMetrics() gometrics.Registry { return r.goMetrics }

// Counters is a counter for each set of label values.
type Counters struct{ f *family }

// Gauges is a gauge for each set of label values.
type Gauges struct{ f *family }

// GaugeFuncs is a function for each set of label values.
type GaugeFuncs struct{ f *family }

// Histograms is a histogram for each set of label values.
type Histograms struct{ f *family }

// Counter declares a counter with a kebab-case name; declaring it again returns the same one.
func (r *Registry) Counter(name, help string, labels ...string) Counters {
	return Counters{r.declare(name, help, kindCounter, UnitCount, labels)}
}

// Gauge declares a gauge with a kebab-case name; declaring it again returns the same one.
func (r *Registry) Gauge(name, help string, labels ...string) Gauges {
	return Gauges{r.declare(name, help, kindGauge, UnitCount, labels)}
}

// GaugeFunc declares a gauge whose value is computed by a function on exposition; the function must be safe for concurrent
// use.
func (r *Registry) GaugeFunc(name, help string, value func() int64) {
	GaugeFuncs{r.declare(name, help, kindGauge, UnitCount, nil)}.With(value)
}

// GaugeFuncs declares a gauge whose values are computed by functions on exposition.
func (r *Registry) GaugeFuncs(name, help string, labels ...string) GaugeFuncs {
	return GaugeFuncs{r.declare(name, help, kindGauge, UnitCount, labels)}
}

// With adds the function for a set of label values; it must be safe for concurrent use. A second function for the same
// label values is ignored.
func (g GaugeFuncs) With(value func() int64, values ...string) {
	g.f.seriesMetric(values, func() any { return gometrics.NewFunctionalGauge(value) })
}

// Histogram declares a histogram with a kebab-case name; declaring it again returns the same one.
func (r *Registry) Histogram(name, help string, unit Unit, labels ...string) Histograms {
	return Histograms{r.declare(name, help, kindHistogram, unit, labels)}
}

// With returns the counter for label values in the order of the declared labels.
func (c Counters) With(values ...string) gometrics.Counter {
	return c.f.seriesMetric(values, func() any { return gometrics.NewCounter() }).(gometrics.Counter)
}

// With returns the gauge for label values in the order of the declared labels.
func (g Gauges) With(values ...string) gometrics.Gauge {
	return g.f.seriesMetric(values, func() any { return gometrics.NewGauge() }).(gometrics.Gauge)
}

// With returns the histogram for label values in the order of the declared labels.
func (h Histograms) With(values ...string) gometrics.Histogram {
	return h.f.seriesMetric(values, func() any { return gometrics.NewHistogram(newSample(h.f.bounds)) }).(gometrics.Histogram)
}

// declare returns the family with a name, and creates it if needed. It panics if the name was declared differently before.
func (r *Registry) declare(name, help string, k kind, unit Unit, labels []string) *family {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f, ok := r.families[name]; ok {
		if f.kind != k || f.unit != unit || !slices.Equal(f.labels, labels) {
			panic("metrics: " + name + " is declared twice in different ways")
		}
		return f
	}
	f := &family{
		name: name, help: help, kind: k, unit: unit, labels: labels, maxLabelSets: r.maxLabelSets, goMetrics: r.goMetrics, seriesByKey: map[string]*series{},
	}
	if k == kindHistogram {
		f.bounds = bucketBounds(unit)
	}
	r.families[name] = f
	return f
}

const separator = "\x00"

func (f *family) seriesMetric(values []string, create func() any) any {
	if len(values) != len(f.labels) {
		panic(fmt.Sprintf("metrics: %s has %d labels and was given %d values", f.name, len(f.labels), len(values)))
	}
	key := strings.Join(values, separator)
	f.mu.RLock()
	m, ok := f.seriesByKey[key]
	f.mu.RUnlock()
	if ok {
		return m.metric
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m, ok := f.seriesByKey[key]; ok {
		return m.metric
	}
	if len(f.seriesByKey) >= f.maxLabelSets {
		values = slices.Repeat([]string{Overflow}, len(f.labels))
		key = strings.Join(values, separator)
		if m, ok := f.seriesByKey[key]; ok {
			return m.metric
		}
	}
	m = &series{values: slices.Clone(values), metric: create()}
	f.seriesByKey[key] = m
	f.allSeries = append(f.allSeries, m)
	if err := f.goMetrics.Register(f.name+f.suffix(m.values), m.metric); err != nil {
		panic("metrics: " + err.Error())
	}
	return m.metric
}

// suffix returns the labels and their values in the form that follows the name in the go-metrics registry.
func (f *family) suffix(values []string) string {
	if len(values) == 0 {
		return ""
	}
	parts := make([]string, len(values))
	for i, v := range values {
		parts[i] = fmt.Sprintf("%s=%q", f.labels[i], v)
	}
	return "{" + strings.Join(parts, ",") + "}"
}

// sorted returns the families, sorted by name.
func (r *Registry) sorted() []*family {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*family, 0, len(r.families))
	for _, f := range r.families {
		out = append(out, f)
	}
	slices.SortFunc(out, func(a, b *family) int { return strings.Compare(a.name, b.name) })
	return out
}

// snapshot returns the series, sorted by label values.
func (f *family) snapshot() []*series {
	f.mu.RLock()
	out := slices.Clone(f.allSeries)
	f.mu.RUnlock()
	slices.SortFunc(out, func(a, b *series) int { return slices.Compare(a.values, b.values) })
	return out
}

// Declaration describes a metric without its values.
type Declaration struct {
	Name string
	// TextName is the name in the text exposition.
	TextName string
	Help     string
	Kind     string
	// Unit is empty for counts.
	Unit   string
	Labels []string
}

// Declared returns all declared metrics, sorted by name.
func (r *Registry) Declared() []Declaration {
	var out []Declaration
	for _, f := range r.sorted() {
		out = append(out, Declaration{
			Name: f.name, TextName: f.fullName(), Help: f.help, Kind: kindNames[f.kind], Unit: f.unit.String(),
			Labels: slices.Clone(f.labels),
		})
	}
	return out
}
