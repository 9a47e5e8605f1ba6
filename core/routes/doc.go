// Package routes is the configuration of a deployment that forwards callers' HTTP requests: routes, the services that they
// lead to, the model engines behind a service, and limits of what callers may send.
//
// A Configuration is checked as a whole and never changed afterwards; a Table finds the route of a request in it.
package routes
