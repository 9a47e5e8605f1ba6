// Package ownership assigns a capacity owner to every backend server.
package ownership
