// Package members runs the failure detector of an entry host and sends its messages as calls between hosts.
package members
