package networktest

import (
	"errors"
	"io"
	"net"
	"time"
)

// EndingConn is a connection whose reads return End, for instance a reset, once the other side has closed it. Its read deadline may
// then still be set, as that of a TCP connection.
type EndingConn struct {
	net.Conn
	End error
}

// Read reads from the connection.
func (c EndingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		err = c.End
	}
	return n, err
}

// SetReadDeadline sets the deadline of reads.
func (c EndingConn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if errors.Is(err, io.ErrClosedPipe) {
		// A pipe refuses a deadline once the other side has closed it.
		return nil
	}
	return err
}
