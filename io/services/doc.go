// Package services is the HTTP client of plain services.
package services
