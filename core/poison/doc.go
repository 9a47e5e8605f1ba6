// Package poison keeps an entry host's view of requests that crashed backend servers: which are refused, and which must run
// alone. Crashes are counted by the control state.
package poison
