// Package poison keeps an entry host's view of requests that crashed backend servers or are suspected of it: which of them are
// refused, and which must run alone. The control state counts the crashes.
//
// A View decides how each request may run. It is not safe for concurrent use.
package poison
