package store

import "time"

// Adapter loads run at full speed while no more than AdapterLimit are in flight from the store.
const (
	AdapterLimit = 30
	// AdapterLoad is the time of one adapter load at full speed.
	AdapterLoad = 10 * time.Millisecond
)

// AdapterShare is the part of the store's adapter capacity that a capacity owner may use.
type AdapterShare struct {
	// InFlight is the number of adapter loads that it may have under way.
	InFlight int
	// Every is the least time between the starts of two loads; 0 means none. It spaces the loads of owners whose share is
	// less than one load at a time.
	Every time.Duration
}

// ShareAdapters returns the share of a host that owns so many of all engines. The shares of all owners add up to
// AdapterLimit loads in flight on average.
func ShareAdapters(owned, engines int) AdapterShare {
	if owned <= 0 || engines <= 0 {
		return AdapterShare{}
	}
	if n := AdapterLimit * owned / engines; n >= 1 {
		return AdapterShare{InFlight: n}
	}
	return AdapterShare{InFlight: 1, Every: AdapterLoad * time.Duration(engines) / time.Duration(AdapterLimit*owned)}
}
