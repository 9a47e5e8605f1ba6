package operators_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"toucanway/io/operators"
)

// Guards against an answer with a malformed head that counts as an operator's success, whatever answers at the host's address.
func TestMalformedHeads(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":               "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\n{}",
		"status 600":               "HTTP/1.1 199 OK\r\n\r\nHTTP/1.1 600 OK\r\nContent-Length: 2\r\n\r\n{}",
		"blank in a name":          "HTTP/1.1 200 OK\r\nOdd Name: x\r\nContent-Length: 2\r\n\r\n{}",
		"blank before the colon":   "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\n{}",
		"folded value":             "HTTP/1.1 200 OK\r\nOdd: x\r\n y\r\nContent-Length: 2\r\n\r\n{}",
		"field of interim answers": "HTTP/1.1 103 X\r\nOdd : x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
		"trailer":                  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nOdd Name: x\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			inSyntheticTime(t, func(t *testing.T) {
				c := operators.NewClient(operators.ClientSettings{Addresses: []string{"127.0.0.1:2"}, Dial: silentHost(t, head)})
				t.Cleanup(c.Close)
				_, err := c.Submit(t.Context(), operators.SubmitRequest{})
				require.Error(t, err)
				require.Error(t, c.Ready(t.Context()))
				require.Error(t, c.Watch(t.Context(), 0, func(operators.EventAnswer) error { return nil }))
			})
		})
	}
}
