package relay

import (
	"toucanway/core/control"
	"toucanway/core/fleet"
)

// MaxDirectHosts is the largest number of hosts that all follow the leader directly, without relays.
const MaxDirectHosts = 64

// Choose returns the session of the host that relays for self: the live host with the lowest id in the same data centre, except
// draining ones. It returns false if self follows the leader directly, since it is that host itself, there is no such host, or
// there are at most MaxDirectHosts sessions.
func Choose(sessions []control.Session, self fleet.HostID, alive func(fleet.HostID) bool) (control.Session, bool) {
	if len(sessions) <= MaxDirectHosts {
		return control.Session{}, false
	}
	var dataCentre fleet.DataCentre
	for _, s := range sessions {
		if s.Host == self {
			dataCentre = s.Place.DataCentre
		}
	}
	var best control.Session
	for _, s := range sessions {
		if dataCentre == "" || s.Place.DataCentre != dataCentre || s.Draining || best.Host != "" && s.Host > best.Host {
			continue
		}
		if s.Host == self || alive(s.Host) {
			best = s
		}
	}
	return best, best.Host != "" && best.Host != self
}
