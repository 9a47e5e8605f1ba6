package metrics

import (
	"io"
	"strings"
	"time"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	gometrics "github.com/rcrowley/go-metrics"
)

// TextContentType is the content type of the text exposition.
const TextContentType = "text/plain; version=0.0.4; charset=utf-8"

// Family is one metric in the JSON exposition.
type Family struct {
	Name    string   `json:"name"`
	Help    string   `json:"help,omitempty"`
	Kind    string   `json:"kind"`
	Unit    string   `json:"unit,omitempty"`
	Metrics []Metric `json:"metrics"`
}

// Metric is one set of label values; Value holds counters and gauges, Distribution histograms.
type Metric struct {
	Labels       map[string]string `json:"labels,omitempty"`
	Value        int64             `json:"value"`
	Distribution *Distribution     `json:"distribution,omitempty"`
}

// Distribution summarises a histogram in its unit; durations are in seconds.
type Distribution struct {
	Count int64   `json:"count"`
	Sum   float64 `json:"sum"`
	Min   float64 `json:"min"`
	Max   float64 `json:"max"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
}

var kindNames = [...]string{"counter", "gauge", "histogram"}

// scale returns the factor from recorded to exposed values.
func (u Unit) scale() float64 {
	if u == UnitDuration {
		return 1 / float64(time.Second)
	}
	return 1
}

// String returns the name of the unit as it is exposed; it is empty for counts.
func (u Unit) String() string {
	switch u {
	case UnitDuration:
		return "seconds"
	case UnitBytes:
		return "bytes"
	case UnitCount:
		return ""
	default:
		return ""
	}
}

// Families returns all metrics for the JSON exposition, sorted by name.
func (r *Registry) Families() []Family {
	var out []Family
	for _, f := range r.sorted() {
		fam := Family{Name: f.name, Help: f.help, Kind: kindNames[f.kind], Unit: f.unit.String(), Metrics: []Metric{}}
		for _, m := range f.snapshot() {
			metric := Metric{Labels: f.labelMap(m.values)}
			switch v := m.metric.(type) {
			case gometrics.Counter:
				metric.Value = v.Count()
			case gometrics.Gauge:
				metric.Value = v.Value()
			case gometrics.Histogram:
				metric.Distribution = distribution(v.Sample().(*sample).copy(), f.unit.scale())
			default:
				panic("metrics: metric of unknown type")
			}
			fam.Metrics = append(fam.Metrics, metric)
		}
		out = append(out, fam)
	}
	return out
}

func distribution(s *sample, scale float64) *Distribution {
	return &Distribution{
		Count: s.count, Sum: float64(s.sum) * scale, Min: float64(s.min) * scale, Max: float64(s.max) * scale,
		P50: s.percentile(0.5) * scale, P95: s.percentile(0.95) * scale, P99: s.percentile(0.99) * scale,
	}
}

func (f *family) labelMap(values []string) map[string]string {
	if len(values) == 0 {
		return nil
	}
	out := make(map[string]string, len(values))
	for i, v := range values {
		out[f.labels[i]] = v
	}
	return out
}

const textPrefix = "toucanway_"

// textName converts a kebab-case name to a valid name in the text exposition.
func textName(name string) string { return strings.ReplaceAll(name, "-", "_") }

// fullName returns the name in the text exposition, with the unit and, for counters, the suffix "_total" that scrapers
// expect.
func (f *family) fullName() string {
	name := textPrefix + textName(f.name)
	if unit := f.unit.String(); unit != "" && !strings.HasSuffix(name, "_"+unit) {
		name += "_" + unit
	}
	if f.kind == kindCounter && !strings.HasSuffix(name, "_total") {
		name += "_total"
	}
	return name
}

// WriteText writes all metrics in the text exposition format.
func (r *Registry) WriteText(w io.Writer) error {
	for _, f := range r.sorted() {
		series := f.snapshot()
		if len(series) == 0 {
			continue
		}
		kinds := [...]dto.MetricType{dto.MetricType_COUNTER, dto.MetricType_GAUGE, dto.MetricType_HISTOGRAM}
		fam := &dto.MetricFamily{Name: new(f.fullName()), Help: new(f.help), Type: kinds[f.kind].Enum()}
		for _, m := range series {
			fam.Metric = append(fam.Metric, f.textMetric(m))
		}
		if _, err := expfmt.MetricFamilyToText(w, fam); err != nil {
			return err
		}
	}
	return nil
}

func (f *family) textMetric(m *series) *dto.Metric {
	out := &dto.Metric{}
	for i, v := range m.values {
		out.Label = append(out.Label, &dto.LabelPair{Name: new(textName(f.labels[i])), Value: new(v)})
	}
	switch v := m.metric.(type) {
	case gometrics.Counter:
		out.Counter = &dto.Counter{Value: new(float64(v.Count()))}
	case gometrics.Gauge:
		out.Gauge = &dto.Gauge{Value: new(float64(v.Value()))}
	case gometrics.Histogram:
		out.Histogram = textHistogram(v.Sample().(*sample).copy(), f.unit.scale())
	default:
		panic("metrics: metric of unknown type")
	}
	return out
}

func textHistogram(s *sample, scale float64) *dto.Histogram {
	h := &dto.Histogram{SampleCount: new(uint64(s.count)), SampleSum: new(float64(s.sum) * scale)}
	var cumulative uint64
	for i, bound := range s.bounds {
		cumulative += uint64(s.counts[i])
		h.Bucket = append(h.Bucket, &dto.Bucket{CumulativeCount: new(cumulative), UpperBound: new(float64(bound) * scale)})
	}
	return h
}
