// Package store limits the checkpoint loads of the whole system from the weight store by one budget, and divides the store's
// capacity for adapter loads among the capacity owners.
package store
