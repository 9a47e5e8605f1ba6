// Package fleet names the parts of a deployment and the values that the other packages share:
// ids, units, backend servers, their inventories and the orders given to them.
package fleet
