package capacity

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"

	"toucanway/cmd/toucanway-lab/internal/report"
)

// minSizes is the least number of sizes of a measurement, since two always lie on a line.
const minSizes = 3

// Measurement is a value that depends on a size.
type Measurement struct {
	Name string
	// SizeUnit and Unit name the size and the value.
	SizeUnit, Unit string
	Sizes          []int
	// Target is the size to extrapolate to.
	Target int
	// Run returns the value at a size.
	Run func(size int) (float64, error)
	// Repeat is how often each size is measured; the least value counts, since other load only adds to it. Zero means 1.
	Repeat int
}

// Point is the value at a size.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// Slope is the straight line of a measurement.
type Slope struct {
	Name      string  `json:"name"`
	SizeUnit  string  `json:"size-unit"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// Fit is the part of the variance that the line explains, from 0 to 1.
	Fit      float64 `json:"fit"`
	Target   int     `json:"target"`
	AtTarget float64 `json:"at-target"`
}

// Measure runs a measurement at all its sizes and fits a line.
func Measure(m Measurement) (Slope, error) {
	if len(m.Sizes) < minSizes {
		return Slope{}, fmt.Errorf("measurement %s has %d sizes; give at least %d", m.Name, len(m.Sizes), minSizes)
	}
	out := Slope{Name: m.Name, SizeUnit: m.SizeUnit, Unit: m.Unit, Target: m.Target}
	for _, size := range m.Sizes {
		var values []float64
		for range max(m.Repeat, 1) {
			v, err := m.Run(size)
			if err != nil {
				return Slope{}, fmt.Errorf("measurement %s at size %d: %w", m.Name, size, err)
			}
			values = append(values, v)
		}
		out.Points = append(out.Points, Point{Size: size, Value: slices.Min(values)})
	}
	out.Slope, out.Intercept, out.Fit = leastSquares(out.Points)
	out.AtTarget = out.Intercept + out.Slope*float64(m.Target)
	return out, nil
}

// leastSquares returns slope, intercept and coefficient of determination.
func leastSquares(points []Point) (slope, intercept, fit float64) {
	n := float64(len(points))
	var sx, sy float64
	for _, p := range points {
		sx += float64(p.Size)
		sy += p.Value
	}
	mx, my := sx/n, sy/n
	var xx, xy, yy float64
	for _, p := range points {
		dx, dy := float64(p.Size)-mx, p.Value-my
		xx += dx * dx
		xy += dx * dy
		yy += dy * dy
	}
	if xx == 0 {
		return 0, my, 0
	}
	slope = xy / xx
	fit = 1
	if yy > 0 {
		fit = xy * xy / (xx * yy)
	}
	return slope, my - slope*mx, fit
}

// Table returns slopes as a table.
func Table(slopes []Slope) *report.Table {
	t := &report.Table{
		Title:   "measured slopes, extrapolated to the target of section 1.7",
		Columns: []string{"measurement", "sizes", "unit", "slope", "per", "intercept", "fit", "target", "at target"},
	}
	for _, s := range slopes {
		sizes := fmt.Sprintf("%d..%d", s.Points[0].Size, s.Points[len(s.Points)-1].Size)
		t.Add(s.Name, sizes, s.Unit, s.Slope, s.SizeUnit, s.Intercept, s.Fit, s.Target, s.AtTarget)
	}
	return t
}

// heapOf returns the bytes of heap that remain in use by what build returns.
func heapOf(build func() (any, error)) (float64, error) {
	before := liveHeap()
	v, err := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return math.Max(after-before, 0), err
}

func liveHeap() float64 {
	// The second collection frees what finalizers of the first one released.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// CPUOf returns the CPU time that the process spends while f runs.
func CPUOf(f func() error) (time.Duration, error) {
	before, err := cpuTime()
	if err != nil {
		return 0, err
	}
	if err := f(); err != nil {
		return 0, err
	}
	after, err := cpuTime()
	return after - before, err
}

func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
