// Package experiment compares variants of the system under the same seeded load. A Runner runs the variants.
package experiment
