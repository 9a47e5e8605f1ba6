package relay

import (
	"toucanway/core/control"
	"toucanway/core/fleet"
)

// DirectHosts is the number of hosts up to which all of them follow the leader.
const DirectHosts = 64

// Choose returns the session of the host that relays for self: the one with the lowest id that is alive in the same data
// centre. It returns false when self follows the leader.
func Choose(sessions []control.Session, self fleet.HostID, alive func(fleet.HostID) bool) (control.Session, bool) {
	if len(sessions) <= DirectHosts {
		return control.Session{}, false
	}
	var here fleet.DataCentre
	for _, s := range sessions {
		if s.Host == self {
			here = s.Place.DataCentre
		}
	}
	var best control.Session
	for _, s := range sessions {
		if here == "" || s.Place.DataCentre != here || s.Draining || best.Host != "" && s.Host > best.Host {
			continue
		}
		if s.Host == self || alive(s.Host) {
			best = s
		}
	}
	return best, best.Host != "" && best.Host != self
}
