// Package demand sums up the entry hosts' reports of waiting requests, running requests and recent calls by model.
package demand
