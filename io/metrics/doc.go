// Package metrics is the registry of counters, gauges and histograms of one host, with labels such as tenant and class, and
// its exposition as JSON and as text for scrapers.
//
// Declare a metric once and keep the result; With finds the member for label values and is safe for concurrent use. The
// number of label sets of each metric is bounded: further ones are counted under the value "other" for every label.
package metrics
