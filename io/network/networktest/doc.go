// Package networktest has connections for tests of what speaks to backend servers.
package networktest
