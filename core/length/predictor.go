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
	// buckets are spaced by half powers of two, so that a quantile is off by a fifth at most.
	buckets = 40
	// halveAt is the number of outcomes after which older ones count half.
	halveAt = 512
)

// Settings configure a Predictor; zero fields mean the defaults above.
type Settings struct {
	// Keys bounds the learnt keys; the least recently used is dropped.
	Keys int
	// LongTokens is the output from which work counts as long.
	LongTokens fleet.Tokens
	// MinOutcomes is the number of outcomes from which a key is trusted; coarser keys serve until then.
	MinOutcomes int
	// Quantile is the quantile of the output length used for KV cache and long work.
	Quantile float64
}

// Request is what is known of a request before it runs.
type Request struct {
	Caller fleet.CallerID
	Class  fleet.Class
	Model  fleet.ModelID
	Prompt fleet.Tokens
	// Limit is the caller's bound on the output; zero means none.
	Limit fleet.Tokens
}

// Prediction is the expected output of a request.
type Prediction struct {
	// Mean is charged to fair shares, High is the configured quantile; neither exceeds the limit.
	Mean, High fleet.Tokens
	Long       bool
	// Outcomes is the number of outcomes behind the prediction; zero means that it is a default.
	Outcomes int
}

// key is a request's features; coarser keys leave the later fields at their zero values.
type key struct {
	level  int
	model  fleet.ModelID
	caller fleet.CallerID
	class  fleet.Class
	prompt int
	limit  int
}

const levels = 4

// keyAt returns a request's key at a level, 0 being the finest.
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

// digest is a histogram of output lengths, linked into the order of use.
type digest struct {
	key        key
	counts     [buckets]float32
	total      float32
	sum        float64
	prev, next *digest
}

// Predictor learns output lengths. It is not safe for concurrent use.
type Predictor struct {
	cfg     Settings
	digests map[key]*digest
	// use is the sentinel of the ring of digests, most recently used first.
	use digest
}

// New returns a predictor without outcomes.
func New(cfg Settings) *Predictor {
	cfg.Keys = cmp.Or(cfg.Keys, DefaultKeys)
	cfg.LongTokens = cmp.Or(cfg.LongTokens, DefaultLongTokens)
	cfg.MinOutcomes = cmp.Or(cfg.MinOutcomes, DefaultMinOutcomes)
	cfg.Quantile = cmp.Or(cfg.Quantile, DefaultQuantile)
	p := &Predictor{cfg: cfg, digests: map[key]*digest{}}
	p.use.prev, p.use.next = &p.use, &p.use
	return p
}

// Len returns the number of learnt keys.
func (p *Predictor) Len() int { return len(p.digests) }

// Predict returns the expected output of a request.
func (p *Predictor) Predict(r Request) Prediction {
	for level := range levels {
		d := p.digests[r.keyAt(level)]
		if d == nil || d.total < float32(p.cfg.MinOutcomes) {
			continue
		}
		p.touch(d)
		return p.prediction(&r, d)
	}
	// Without outcomes the limit is the only bound known; work without one counts as short until it outgrows that.
	high := cmp.Or(r.Limit, p.cfg.LongTokens/2)
	return Prediction{Mean: (high + 1) / 2, High: high}
}

func (p *Predictor) prediction(r *Request, d *digest) Prediction {
	out := Prediction{
		Mean: fleet.Tokens(math.Ceil(d.sum / float64(d.total))), High: d.quantile(p.cfg.Quantile), Outcomes: int(d.total),
	}
	if r.Limit > 0 {
		out.Mean, out.High = min(out.Mean, r.Limit), min(out.High, r.Limit)
	}
	out.Long = min(cmp.Or(r.Limit, math.MaxInt64), d.quantile(0.5)) >= p.cfg.LongTokens
	return out
}

// Outgrown says whether a running request has produced so much more than predicted that it counts as long.
func (p *Predictor) Outgrown(pred Prediction, produced fleet.Tokens) bool {
	return produced > max(pred.High, p.cfg.LongTokens/2)
}

// Observe learns from a finished request; outputs that were cut off by a failure are not to be told.
func (p *Predictor) Observe(r Request, output fleet.Tokens) {
	for level := range levels {
		k := r.keyAt(level)
		d := p.digests[k]
		if d == nil {
			if len(p.digests) >= p.cfg.Keys {
				last := p.use.prev
				last.unlink()
				delete(p.digests, last.key)
			}
			d = &digest{key: k}
			p.digests[k] = d
		} else {
			d.unlink()
		}
		p.link(d)
		d.observe(output)
	}
}

func (p *Predictor) touch(d *digest) {
	d.unlink()
	p.link(d)
}

func (p *Predictor) link(d *digest) {
	d.prev, d.next = &p.use, p.use.next
	d.prev.next, d.next.prev = d, d
}

func (d *digest) unlink() { d.prev.next, d.next.prev = d.next, d.prev }

func (d *digest) observe(output fleet.Tokens) {
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

// quantile returns the upper end of the bucket that holds the quantile.
func (d *digest) quantile(q float64) fleet.Tokens {
	want := float32(q) * d.total
	var sum float32
	for i, n := range d.counts {
		if sum += n; sum >= want {
			return fleet.Tokens(math.Ceil(math.Exp2(float64(i) / 2)))
		}
	}
	return fleet.Tokens(math.Ceil(math.Exp2(float64(buckets-1) / 2)))
}
