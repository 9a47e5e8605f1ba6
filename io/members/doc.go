// Package members runs the failure detector of an entry host and carries its messages over calls between hosts.
package members
