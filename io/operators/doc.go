// Package operators is the operators' HTTP interface: the configuration document, the state of the deployment, drains,
// metrics and profiles. It holds the API types, the server on top of a System and the client used by the terminal.
package operators
