package networktest

import (
	"bytes"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// UploadServer is a server on a loopback address that answers uploads without having read them. Only real connections show what a reset does to
// a write and a read that are in progress.
type UploadServer struct {
	// Answer is written once ReadFirst bytes of the body were read.
	Answer    string
	ReadFirst int
	// End ends the connection behind the answer.
	End func(c *net.TCPConn)
}

// Start starts the server and returns its address. The test waits for its connections to end.
func (s UploadServer) Start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var g errgroup.Group
	g.Go(func() error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { return s.serve(c.(*net.TCPConn)) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		require.NoError(t, g.Wait())
	})
	return l.Addr().String()
}

func (s UploadServer) serve(c *net.TCPConn) error {
	defer c.Close()
	// Bytes that a buffered reader had read ahead would not be unread ones at the close.
	for head := []byte{}; !bytes.HasSuffix(head, []byte("\r\n\r\n")); {
		var b [1]byte
		if _, err := c.Read(b[:]); err != nil {
			// The connection has carried no request.
			return nil
		}
		head = append(head, b[0])
	}
	if _, err := io.CopyN(io.Discard, c, int64(s.ReadFirst)); err != nil {
		return err
	}
	if _, err := io.WriteString(c, s.Answer); err != nil {
		return err
	}
	s.End(c)
	return nil
}

// ResetByLinger closes a connection such that the other side gets a reset.
func ResetByLinger(c *net.TCPConn) {
	// An error means that the connection has ended already.
	_ = c.SetLinger(0)
	_ = c.Close()
}

// CloseUnread closes a connection, which resets it if it has unread bytes.
func CloseUnread(c *net.TCPConn) {
	// An error means that the connection has ended already.
	_ = c.Close()
}
