// Package store admits checkpoint loads from the rate-limited weight store within one budget for the whole system.
package store
