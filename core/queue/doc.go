// Package queue orders waiting requests: strict priority by class with aging, fair shares of tenants within a class,
// earliest deadline first within a tenant, and a bound on starvation.
//
// A Queue holds the waiting entries, an Estimator predicts their wait, and a LongRule limits the slots of long requests. None of
// them is safe for concurrent use.
package queue
