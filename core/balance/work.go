package balance

import (
	"math"
	"time"

	"toucanway/core/fleet"
	"toucanway/core/registry"
)

// work measures what requests to engines take, from those of this host that have ended.
type work struct {
	// hold and prompt are the smoothed duration and prompt of a request; 0 before the first one.
	hold   float64
	prompt float64
	// shortHeld and longHeld are the seconds that requests with short and long prompts have held a slot; both decay with the time
	// constant mixTimeConstant until decayedAt.
	shortHeld, longHeld float64
	decayedAt           time.Time
}

const (
	// defaultHoldTime is the duration of a request before the first one has ended.
	defaultHoldTime = time.Second
	// workWeight is the weight of a new observation of the duration and the prompt of a request.
	workWeight = 0.05
	// mixTimeConstant is the time constant of the shares of short and long prompts.
	mixTimeConstant = 20 * time.Second
)

// observe records the end of a request to an engine.
func (w *work) observe(now time.Time, prompt fleet.Tokens, held time.Duration) {
	if w.hold == 0 {
		w.hold, w.prompt = float64(held), float64(prompt)
	}
	w.hold += workWeight * (float64(held) - w.hold)
	w.prompt += workWeight * (float64(prompt) - w.prompt)
	w.decay(now)
	if isShort(prompt) {
		w.shortHeld += held.Seconds()
	} else {
		w.longHeld += held.Seconds()
	}
}

func (w *work) decay(now time.Time) {
	if dt := now.Sub(w.decayedAt); dt > 0 {
		f := math.Exp(-float64(dt) / float64(mixTimeConstant))
		w.shortHeld, w.longHeld, w.decayedAt = w.shortHeld*f, w.longHeld*f, now
	}
}

// holdTime returns the expected duration of a request.
func (w *work) holdTime() time.Duration {
	if w.hold == 0 {
		return defaultHoldTime
	}
	return time.Duration(w.hold)
}

// capacity returns the number of requests that an engine runs at once: its slots, or fewer if its memory holds fewer prompts; 0
// means that it is not known.
func (w *work) capacity(in *registry.Instance, r *Request) int {
	n := in.Slots
	if n > 0 && r.KVCapacity > 0 && w.prompt > 0 {
		n = max(min(n, int(float64(r.KVCapacity)/w.prompt)), 1)
	}
	return n
}

// shortShare returns the share of the slots' time that requests with short prompts hold, and false if only prompts of one kind
// have been seen.
func (w *work) shortShare(now time.Time) (float64, bool) {
	w.decay(now)
	total := w.shortHeld + w.longHeld
	if total == 0 || w.shortHeld < minMixShare*total || w.longHeld < minMixShare*total {
		return 0, false
	}
	return w.shortHeld / total, true
}

// minMixShare is the share of the slots' time below which prompts of one kind are too few to keep replicas for them.
const minMixShare = 0.02
