// Package operators implements the operators' HTTP interface: the configuration document, the state of the deployment,
// drains, metrics and profiles. It contains the API types, a server for a System and the client that the command line
// uses.
package operators
