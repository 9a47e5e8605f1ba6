// Package services is the HTTP client of plain services.
//
// The Client is safe for concurrent use.
package services
