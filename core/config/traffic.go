package config

import (
	"time"

	"toucanway/core/fleet"
)

// unboundedTraffic stands for no limit on the bytes a second between regions.
const unboundedTraffic = fleet.Bytes(1) << 50

// CrossRegionRate returns the bytes a second that one of a number of hosts may move between regions for a tenant. Each has the same part of
// the tenant's share by weight, so that the hosts stay within the deployment's limit together.
func (d *Document) CrossRegionRate(id fleet.TenantID, hosts int) fleet.Bytes {
	total := d.Regions.CrossRegionPerHour
	if total == 0 {
		return unboundedTraffic
	}
	sum, own := 0, 0
	for _, t := range d.Callers.Tenants {
		sum += t.Weight
		if t.ID == id {
			own = t.Weight
		}
	}
	perHour := total * fleet.Bytes(max(own, 1)) / fleet.Bytes(max(sum, 1))
	return perHour / fleet.Bytes(max(hosts, 1)) / fleet.Bytes(time.Hour/time.Second)
}
