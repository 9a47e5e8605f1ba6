package entry

import (
	"time"

	"toucanway/core/control"
	"toucanway/core/fleet"
	"toucanway/io/callers"
)

// advise answers which entry hosts a caller should use.
func (h *Host) advise(time.Time, string, fleet.ServiceID, string) (callers.Hosts, *fleet.Refusal) {
	out := callers.Hosts{LifetimeMs: h.addressLifetime().Milliseconds()}
	h.follower.Read(func(s *control.State) {
		for _, v := range s.Sessions() {
			if v.Draining {
				continue
			}
			out.Hosts = append(out.Hosts, callers.HostAddress{Host: v.Host, Address: v.CallerAddress, Region: v.Place.Region})
		}
	})
	if len(out.Hosts) == 0 {
		return out, fleet.Refuse(fleet.CodeHostDraining, time.Second, "no entry host takes new callers now; ask again")
	}
	return out, nil
}
