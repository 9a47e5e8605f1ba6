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

// minSizes is the minimum number of sizes of a measurement: a line fits any two points exactly, so two say nothing about
// whether the growth is linear.
const minSizes = 3

// Measurement defines how to measure a value at several sizes, for example the heap in bytes for a number of hosts.
type Measurement struct {
	Name string
	// SizeUnit is the unit of the size and Unit that of the value.
	SizeUnit, Unit string
	Sizes          []int
	// Target is the size to extrapolate to.
	Target int
	// Run returns the value at a size.
	Run func(size int) (float64, error)
	// Repeat is the number of runs at each size; zero means 1. The lowest value is used, since other load on the machine can
	// only raise it.
	Repeat int
}

// Point is a measured value and the size it was measured at.
type Point struct {
	Size  int     `json:"size"`
	Value float64 `json:"value"`
}

// LinearFit is the result of a measurement: its points, the straight line fitted to them, and the value of the line at the
// target size.
type LinearFit struct {
	Name      string  `json:"name"`
	SizeUnit  string  `json:"size-unit"`
	Unit      string  `json:"unit"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	// RSquared is the coefficient of determination of the line, from 0 to 1.
	RSquared float64 `json:"fit"`
	Target   int     `json:"target"`
	AtTarget float64 `json:"at-target"`
}

// Measure runs a measurement at all its sizes and fits a line to the values. It fails if there are fewer than minSizes sizes.
func Measure(m Measurement) (LinearFit, error) {
	if len(m.Sizes) < minSizes {
		return LinearFit{}, fmt.Errorf("measurement %s has %d sizes; give at least %d", m.Name, len(m.Sizes), minSizes)
	}
	out := LinearFit{Name: m.Name, SizeUnit: m.SizeUnit, Unit: m.Unit, Target: m.Target}
	for _, size := range m.Sizes {
		var values []float64
		for range max(m.Repeat, 1) {
			v, err := m.Run(size)
			if err != nil {
				return LinearFit{}, fmt.Errorf("measurement %s at size %d: %w", m.Name, size, err)
			}
			values = append(values, v)
		}
		out.Points = append(out.Points, Point{Size: size, Value: slices.Min(values)})
	}
	out.Slope, out.Intercept, out.RSquared = leastSquares(out.Points)
	out.AtTarget = out.Intercept + out.Slope*float64(m.Target)
	return out, nil
}

// leastSquares fits a line and returns its slope, intercept and coefficient of determination.
func leastSquares(points []Point) (slope, intercept, rSquared float64) {
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
	rSquared = 1
	if yy > 0 {
		rSquared = xy * xy / (xx * yy)
	}
	return slope, my - slope*mx, rSquared
}

// Table returns the fitted lines as a table, one row for each measurement.
func Table(fits []LinearFit) *report.Table {
	t := &report.Table{
		Title:   "measured slopes, extrapolated to the target of section 1.7",
		Columns: []string{"measurement", "sizes", "unit", "slope", "per", "intercept", "fit", "target", "at target"},
	}
	for _, s := range fits {
		sizes := fmt.Sprintf("%d..%d", s.Points[0].Size, s.Points[len(s.Points)-1].Size)
		t.Add(s.Name, sizes, s.Unit, s.Slope, s.SizeUnit, s.Intercept, s.RSquared, s.Target, s.AtTarget)
	}
	return t
}

// retainedHeap returns the heap in bytes that the value returned by build keeps in use after garbage collection.
func retainedHeap(build func() (any, error)) (float64, error) {
	before := liveHeap()
	v, err := build()
	after := liveHeap()
	runtime.KeepAlive(v)
	return math.Max(after-before, 0), err
}

func liveHeap() float64 {
	// The second collection frees the objects whose finalizers ran after the first one.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// MeasureCPU returns the CPU time, user and system, that the whole process spends while f runs.
func MeasureCPU(f func() error) (time.Duration, error) {
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
