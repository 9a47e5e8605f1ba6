// Package examples generates the configuration documents and host settings under examples/, at the sizes of the two
// organisations that run the system. The generated files are deterministic.
package examples
