// Package hosts carries calls between entry hosts: connect-go unary procedures over HTTP/2 with CBOR messages.
//
// Every call has a deadline and every connection a heartbeat, since a silent partition sends no reset.
package hosts
