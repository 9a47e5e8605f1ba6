// Package metrics provides a registry for the counters, gauges and histograms of one host, with labels such as tenant and
// class, and exposes it as JSON and as text for scrapers.
//
// Declare a metric once and keep the result; With returns the metric for given label values and is safe for concurrent use.
// The number of label sets per metric is bounded: further ones are counted in a set whose labels all have the value
// "other".
package metrics
