package http1

import (
	"bufio"
	"strings"
	"testing"
)

// BenchmarkPeekHead measures the judgement of the head of a usual answer.
func BenchmarkPeekHead(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: 9c41d07be2a35f68\r\n" +
		"X-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Server: i-99a2ea3ce4\r\nTransfer-Encoding: chunked\r\n\r\n"
	r := bufio.NewReader(strings.NewReader(head))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := PeekHead(r); err != nil {
			b.Fatal(err)
		}
	}
}
