// Package store limits the checkpoint loads of the whole deployment from the weight store by one budget, and divides the store's
// capacity for adapter loads among the capacity owners.
//
// A Budget admits the checkpoint loads, and AdapterShareOf computes the share of an owner. A Budget is not safe for concurrent
// use.
package store
