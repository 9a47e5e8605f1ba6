// Package queue orders waiting requests: strict classes with aging, fair share by tenant within a class, earliest
// deadline within a tenant, and a bound on starvation.
package queue
