// Package callers serves callers by HTTP: completions and chat completions in the OpenAI style with server-sent events,
// calls of plain services, and the addresses of the entry hosts to use.
package callers
