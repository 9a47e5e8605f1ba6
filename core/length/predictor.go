package length

import (
	"cmp"
	"math"
	"math/bits"

	"toucanway/core/fleet"
)

// Defaults of Settings.
const (
	DefaultKeys        = 4096
	DefaultLongTokens  = 1024
	DefaultMinOutcomes = 20
	DefaultQuantile    = 0.9
)

const (
	// buckets is the number of histogram buckets. Their bounds are powers of the square root of two, so that a quantile is
	// too high by a factor of 1.42 at most.
	buckets = 40
	// halveAt is the number of outcomes in a histogram at which their weight is halved.
	halveAt = 512
)

// Settings configures a Predictor; zero fields mean the defaults above.
type Settings struct {
	// Keys is the largest number of keys with recorded outcomes; the least recently used one is dropped.
	Keys int
	// LongTokens is the output length from which a request counts as long.
	LongTokens fleet.Tokens
	// MinOutcomes is the number of outcomes from which a key is used; coarser keys are used until then.
	MinOutcomes int
	// Quantile is the quantile of the output length that Prediction.UpperQuantile holds.
	Quantile float64
}

// Request holds the features of a request that are known before it runs.
type Request struct {
	Caller fleet.CallerID
	Class  fleet.Class
	Model  fleet.ModelID
	Prompt fleet.Tokens
	// Limit is the caller's limit on the output; zero means none.
	Limit fleet.Tokens
}

// Prediction is the expected output length of a request.
type Prediction struct {
	// Mean is the mean output length, which is charged to fair shares; UpperQuantile is the quantile given by
	// Settings.Quantile. Neither exceeds the limit.
	Mean, UpperQuantile fleet.Tokens
	// Long means that the median output length, or the limit if that is lower, reaches Settings.LongTokens.
	Long bool
	// Outcomes is the number of outcomes on which the prediction is based; zero means that it is a default.
	Outcomes int
}

// key identifies requests with the same features. Coarser keys have zero values for the features that they ignore.
type key struct {
	level  int
	model  fleet.ModelID
	caller fleet.CallerID
	class  fleet.Class
	prompt int
	limit  int
}

// levels is the number of levels of keys.
const levels = 4

// keyAt returns a request's key at a level; level 0 is the finest.
func (r *Request) keyAt(level int) key {
	k := key{level: level, model: r.Model}
	switch level {
	case 0:
		k.caller, k.class, k.prompt, k.limit = r.Caller, r.Class, sizeBucket(r.Prompt), sizeBucket(r.Limit)
	case 1:
		k.caller, k.class = r.Caller, r.Class
	case 2:
		k.class = r.Class
	default:
		k.model = ""
	}
	return k
}

func sizeBucket(n fleet.Tokens) int { return bits.Len64(uint64(max(n, 0))) }

// histogram counts the output lengths of one key. Histograms are linked in the order of their last use.
type histogram struct {
	key        key
	counts     [buckets]float32
	total      float32
	sum        float64
	prev, next *histogram
}

// Predictor predicts output lengths from observed ones. It is not safe for concurrent use.
type Predictor struct {
	cfg        Settings
	histograms map[key]*histogram
	// lru is the sentinel of the ring of histograms, most recently used first.
	lru histogram
}

// New returns a predictor without any outcomes.
func New(cfg Settings) *Predictor {
	cfg.Keys = cmp.Or(cfg.Keys, DefaultKeys)
	cfg.LongTokens = cmp.Or(cfg.LongTokens, DefaultLongTokens)
	cfg.MinOutcomes = cmp.Or(cfg.MinOutcomes, DefaultMinOutcomes)
	cfg.Quantile = cmp.Or(cfg.Quantile, DefaultQuantile)
	p := &Predictor{cfg: cfg, histograms: map[key]*histogram{}}
	p.lru.prev, p.lru.next = &p.lru, &p.lru
	return p
}

// Len returns the number of keys with outcomes.
func (p *Predictor) Len() int { return len(p.histograms) }

// Predict returns the expected output length of a request.
func (p *Predictor) Predict(r Request) Prediction {
	for level := range levels {
		d := p.histograms[r.keyAt(level)]
		if d == nil || d.total < float32(p.cfg.MinOutcomes) {
			continue
		}
		p.markUsed(d)
		return p.prediction(&r, d)
	}
	// Without outcomes, the limit is the only known bound. A request without a limit counts as short until its output exceeds
	// the default prediction.
	upper := cmp.Or(r.Limit, p.cfg.LongTokens/2)
	return Prediction{Mean: (upper + 1) / 2, UpperQuantile: upper}
}

func (p *Predictor) prediction(r *Request, d *histogram) Prediction {
	out := Prediction{
		Mean: fleet.Tokens(math.Ceil(d.sum / float64(d.total))), UpperQuantile: d.quantile(p.cfg.Quantile), Outcomes: int(d.total),
	}
	if r.Limit > 0 {
		out.Mean, out.UpperQuantile = min(out.Mean, r.Limit), min(out.UpperQuantile, r.Limit)
	}
	out.Long = min(cmp.Or(r.Limit, math.MaxInt64), d.quantile(0.5)) >= p.cfg.LongTokens
	return out
}

// ExceedsPrediction reports whether a running request has produced so much more output than predicted that it counts as long.
func (p *Predictor) ExceedsPrediction(pred Prediction, produced fleet.Tokens) bool {
	return produced > max(pred.UpperQuantile, p.cfg.LongTokens/2)
}

// Observe records the output length of a finished request. It must not be called for outputs that were cut off by a
// failure.
func (p *Predictor) Observe(r Request, output fleet.Tokens) {
	for level := range levels {
		k := r.keyAt(level)
		d := p.histograms[k]
		if d == nil {
			if len(p.histograms) >= p.cfg.Keys {
				last := p.lru.prev
				last.unlink()
				delete(p.histograms, last.key)
			}
			d = &histogram{key: k}
			p.histograms[k] = d
		} else {
			d.unlink()
		}
		p.insertFirst(d)
		d.observe(output)
	}
}

func (p *Predictor) markUsed(d *histogram) {
	d.unlink()
	p.insertFirst(d)
}

func (p *Predictor) insertFirst(d *histogram) {
	d.prev, d.next = &p.lru, p.lru.next
	d.prev.next, d.next.prev = d, d
}

func (d *histogram) unlink() { d.prev.next, d.next.prev = d.next, d.prev }

func (d *histogram) observe(output fleet.Tokens) {
	if d.total >= halveAt {
		d.total, d.sum = 0, d.sum/2
		for i := range d.counts {
			d.counts[i] /= 2
			d.total += d.counts[i]
		}
	}
	d.counts[bucketOf(output)]++
	d.total++
	d.sum += float64(max(output, 0))
}

// bucketOf returns the bucket of a length: bucket i holds lengths up to 2^(i/2).
func bucketOf(n fleet.Tokens) int {
	if n <= 1 {
		return 0
	}
	return min(buckets-1, int(math.Ceil(2*math.Log2(float64(n)))))
}

// quantile returns the upper bound of the bucket that contains the quantile.
func (d *histogram) quantile(q float64) fleet.Tokens {
	want := float32(q) * d.total
	var sum float32
	for i, n := range d.counts {
		if sum += n; sum >= want {
			return fleet.Tokens(math.Ceil(math.Exp2(float64(i) / 2)))
		}
	}
	return fleet.Tokens(math.Ceil(math.Exp2(float64(buckets-1) / 2)))
}
