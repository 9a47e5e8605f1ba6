package main

import (
	"bytes"
	"io"
	"net"
	"sync"
	"time"
)

// link carries the connections to one machine. It can be cut for a while: nothing passes then, in either direction.
type link struct {
	target string

	mu sync.Mutex
	// healed is closed while the link is not cut.
	healed chan struct{}
	// onOrder is called once with the first bytes of the next order, before they pass; nil for none.
	onOrder func(order []byte)
}

func newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	k := &link{target: target, healed: make(chan struct{})}
	close(k.healed)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.carry(c)
		}
	}()
	return k, nil
}

// cut cuts the link until heal is called.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.healed = make(chan struct{})
}

func (k *link) heal() {
	k.mu.Lock()
	defer k.mu.Unlock()
	close(k.healed)
}

// wait returns once the link is not cut.
func (k *link) wait() {
	k.mu.Lock()
	healed := k.healed
	k.mu.Unlock()
	<-healed
}

// carry carries one connection.
func (k *link) carry(c net.Conn) {
	defer c.Close()
	k.wait()
	t, err := net.Dial("tcp", k.target)
	if err != nil {
		return
	}
	defer t.Close()
	go func() {
		k.pass(c, t, false)
		c.Close()
	}()
	k.pass(t, c, true)
}

// pass passes on what one side sends, after a cut if there is one.
func (k *link) pass(dst io.Writer, src io.Reader, toTarget bool) {
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			k.holdOrder(buf[:n], toTarget)
			if _, werr := dst.Write(buf[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// holdOrder returns once the bytes may pass: those that begin an order, if onOrder is set, after that is called and retransmitAfter the end of the
// cut that it has begun, other bytes once the link is not cut.
func (k *link) holdOrder(b []byte, toTarget bool) {
	k.mu.Lock()
	f := k.onOrder
	isOrder := toTarget && f != nil && bytes.HasPrefix(b, []byte("POST /api/order"))
	if isOrder {
		k.onOrder = nil
	}
	k.mu.Unlock()
	if isOrder {
		f(bytes.Clone(b))
		k.wait()
		time.Sleep(retransmitAfter)
		return
	}
	k.wait()
}
