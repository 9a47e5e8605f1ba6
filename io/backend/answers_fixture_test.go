package backend

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"

	"github.com/valyala/fasthttp"
)

// pipeNetwork connects each dial to a backend server that runs script on its end of the connection.
type pipeNetwork struct {
	dials  int
	script func(conn int, c net.Conn)
}

func (p *pipeNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (p *pipeNetwork) Dial(context.Context, string) (net.Conn, error) {
	p.dials++
	n := p.dials
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		p.script(n, server)
	}()
	return client, nil
}

// answerEach reads requests until the connection ends and writes an answer to each.
func answerEach(answer func(n int, id string) string) func(int, net.Conn) {
	return func(_ int, c net.Conn) {
		r := bufio.NewReader(c)
		var req fasthttp.Request
		for n := 1; req.Read(r) == nil; n++ {
			if _, err := io.WriteString(c, answer(n, string(req.Header.Peek("Id")))); err != nil {
				return
			}
		}
	}
}

func answerTo(id, body string) string {
	head := ""
	if id != "" {
		head = "Id: " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}
