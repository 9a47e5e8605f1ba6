// Package network opens the connections of a host: it listens on and dials from the configured address only.
package network
