// Package balance chooses the backend server for a request by the expected time to first byte. The estimate covers the requests
// that this host has in flight at each server, those that other hosts have reported, cached prompt prefixes, network distance,
// and the server's recent speed and reliability.
//
// A Balancer chooses among the instances in the registry and follows each request with a Ticket from Begin to End. It reads no
// clock and is not safe for concurrent use.
package balance
