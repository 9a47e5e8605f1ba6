// Package demand adds up what entry hosts report of waiting requests and recent calls, by model.
package demand
