// Package controller serves the calls to a control host. The leader of the control group keeps the registry of backend servers,
// sends orders to the model engines, and sends changes to the entry hosts. The other members forward calls to the leader and
// replicate its state, so that they can take over and can answer callers that ask which entry hosts to use.
//
// Lock order: Controller.mu is taken before the locks of formation.Group, never the other way round.
package controller
