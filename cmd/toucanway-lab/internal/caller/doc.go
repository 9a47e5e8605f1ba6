// Package caller is the callers' side of the system: it asks for entry hosts, sends requests to them within deadlines,
// resends what a refusal allows, and verifies streamed answers token by token. It uses net/http, so that the product's
// own HTTP library is exercised by another one.
package caller
