// Package wire defines the JSON messages of the callers' and the engines' APIs for the simulated backend servers and the load
// generator, and a decoder of server-sent events. It follows the published formats and shares no code with the product, so
// that a mistake on one side shows as a mismatch with the other.
package wire
