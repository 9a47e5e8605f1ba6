// Package report writes the results of runs: tables as text, values as JSON, and plots as PNG, with a baseline and a
// change side by side.
package report
