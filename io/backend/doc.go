// Package backend pools HTTP connections to backend servers, and those of operators' clients to hosts. Each exchange owns its connection
// until the whole answer was read, so that an answer can never be delivered to another exchange, and closing the connection cancels the
// exchange.
//
// A Pool is safe for concurrent use; its method Do begins an Exchange.
package backend
