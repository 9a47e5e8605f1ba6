// Package store limits checkpoint loads from the weight store by one budget for the whole system.
package store
