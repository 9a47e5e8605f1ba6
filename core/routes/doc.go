// Package routes contains the configuration of a deployment that forwards callers' HTTP requests: routes, the services that they
// lead to, the model engines behind a service, and limits on what callers may send.
//
// A Configuration is checked as a whole and is immutable afterwards; a Table finds the route of a request in it.
package routes
