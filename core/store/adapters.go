package store

import "time"

const (
	// MaxAdapterLoads is the number of adapter loads in flight from the store at which each still runs at full speed.
	MaxAdapterLoads = 30
	// AdapterLoadTime is the time of one adapter load at full speed.
	AdapterLoadTime = 10 * time.Millisecond
)

// AdapterShare is the part of the store's adapter capacity that a capacity owner may use.
type AdapterShare struct {
	// InFlight is the number of adapter loads that the owner may have in flight.
	InFlight int
	// MinInterval is the least time between the starts of two loads; 0 means no limit. It is set for owners whose share is
	// less than one load at a time.
	MinInterval time.Duration
}

// AdapterShareOf returns the share of a host that owns the given number of all engines. The shares of all owners add up to
// at most MaxAdapterLoads loads in flight on average.
func AdapterShareOf(owned, engines int) AdapterShare {
	if owned <= 0 || engines <= 0 {
		return AdapterShare{}
	}
	if n := MaxAdapterLoads * owned / engines; n >= 1 {
		return AdapterShare{InFlight: n}
	}
	return AdapterShare{InFlight: 1, MinInterval: AdapterLoadTime * time.Duration(engines) / time.Duration(MaxAdapterLoads*owned)}
}
