// Package callers is the HTTP interface for callers: OpenAI-style completions and chat completions with server-sent events, calls
// of plain services, and the addresses of the entry hosts to use.
//
// A Server parses requests and writes answers; a Handler, which must be safe for concurrent use, carries out the requests.
package callers
