// Package service is a stand-in plain service. It counts what it ran by a key in the body and keeps the counts across
// crashes, as the ledger or the order book behind a real service does.
package service
