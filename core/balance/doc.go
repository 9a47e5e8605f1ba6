// Package balance chooses the backend server for a request by the expected time to first byte. The estimate covers the requests
// that this host has in flight at each server, those that other hosts have reported, cached prompt prefixes, network distance,
// and the server's recent speed and reliability.
package balance
