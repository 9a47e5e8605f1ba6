// Package wire holds the JSON messages of the callers' and the engines' interfaces as the stand-ins and the load
// generator speak them, and a decoder of server-sent events. It is written from the published formats and shares no
// code with the product, so that a mistake on one side is noticed on the other.
package wire
