// Package experiment compares variants of the system under the same seeded load. How a variant is run is plugged in.
package experiment
