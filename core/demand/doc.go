// Package demand sums up the entry hosts' reports of waiting requests, running requests and recent calls by model.
//
// A Table keeps the last Report of each host and sums them up in one Model for each declared model. Neither is safe for
// concurrent use.
package demand
