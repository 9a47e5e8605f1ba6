package quota

// LargestRequest returns the units of the largest request that a ledger ever grants under a quota.
func (t Tolerance) LargestRequest(rate, burst float64) float64 {
	l := t.limits(rate, burst)
	return min(l.outstanding, l.claim)
}
