// Package services carries calls to plain services over HTTP.
package services
