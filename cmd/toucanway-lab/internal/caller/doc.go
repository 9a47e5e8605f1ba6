// Package caller is a client of the callers' API. It asks for entry hosts, sends requests to them within deadlines, retries
// as refusals allow, and verifies answers token by token. It uses net/http, so that the product's HTTP library is tested
// against a different one.
package caller
