// Package queue orders waiting requests: strict priority by class with aging, fair shares of tenants within a class,
// earliest deadline first within a tenant, and a bound on starvation.
package queue
