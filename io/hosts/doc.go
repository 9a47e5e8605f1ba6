// Package hosts implements calls between entry hosts: connect-go unary procedures over HTTP/2 with CBOR messages.
//
// Every call has a deadline and every connection is checked by pings, since a network partition that drops packets
// silently does not reset connections.
//
// A Server answers calls. A Client calls one host at an address; a GroupClient calls the leader of a group. Both clients are safe
// for concurrent use.
package hosts
