//go:build !race

package hosts

import (
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// slowNetwork is a network whose dials end once release is closed.
type slowNetwork struct {
	dialled chan struct{}
	release chan struct{}
	// far is the other end of the connection.
	far chan net.Conn
}

func (n *slowNetwork) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (n *slowNetwork) Dial(context.Context, string) (net.Conn, error) {
	close(n.dialled)
	<-n.release
	near, far := net.Pipe()
	n.far <- far
	return near, nil
}

// Guards against a connection that is opened after the client was closed, which nothing ever closes.
func TestConnectionOpenedAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := &slowNetwork{dialled: make(chan struct{}), release: make(chan struct{}), far: make(chan net.Conn, 1)}
		c := NewClient("a", n, nil)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		ended := make(chan error, 1)
		go func() {
			_, err := Call[struct{}, struct{}](ctx, c, "10.0.0.1:1", "/x/Y", &struct{}{})
			ended <- err
		}()
		<-n.dialled
		cancel()
		require.Error(t, <-ended)
		c.Close()
		began := time.Now()
		close(n.release)
		_, err := io.ReadAll(<-n.far)
		require.NoError(t, err)
		require.Zero(t, time.Since(began), "the connection ends at once")
	})
}
