// Package callers is the HTTP interface for callers: OpenAI-style completions and chat completions with server-sent events, calls
// of plain services, and the addresses of the entry hosts to use.
package callers
