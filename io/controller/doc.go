// Package controller is the part of a control host that all others turn to: the leader of the control group keeps the registry
// of backend servers, orders the model engines, and tells entry hosts what has changed; the other members pass calls on to the
// leader and follow it, so that they can take its place and answer callers that ask which entry hosts to use.
//
// Lock order: Controller.mu is taken before the locks of formation.Group, never the other way round.
package controller
