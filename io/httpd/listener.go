package httpd

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// listener is a net.Listener that closes connections over a bound. When it is closed, its
// connections end, except for those on which a byte of a request has been read.
type listener struct {
	net.Listener
	// closing ends when the listener is closed.
	closing context.Context
	cancel  context.CancelFunc
	// open counts the open connections.
	open   sync.WaitGroup
	bounds *Bounds
}

// newListener returns a listener around lis.
func newListener(lis net.Listener, bnd *Bounds) *listener {
	li := &listener{Listener: lis, bounds: bnd}
	li.closing, li.cancel = context.WithCancel(context.Background())
	return li
}

// Accept implements net.Listener. It returns the error as it is, because http.Server
// checks its type. Connections over a bound are closed at once.
func (li *listener) Accept() (net.Conn, error) {
	for {
		inner, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if con, ok := li.admit(inner); ok {
			return con, nil
		}
		_ = inner.Close()
	}
}

// admit returns the connection to serve, and false if it is over a bound.
func (li *listener) admit(inner net.Conn) (*conn, bool) {
	con := &conn{Conn: inner, bounds: li.bounds, awaiting: true, fresh: true, since: time.Now()}
	lease, ok := li.bounds.budget.Connect(li.bounds.class, hostOf(inner), con.evict)
	if !ok {
		return nil, false
	}
	con.lease = lease
	li.open.Add(1)
	li.bounds.add(con)
	stop := context.AfterFunc(li.closing, con.expire)
	con.release = sync.OnceFunc(func() {
		stop()
		lease.Close()
		li.bounds.remove(con)
		li.open.Done()
	})
	return con, true
}

// hostOf returns the address of a client without its port.
func hostOf(nc net.Conn) string {
	adr := nc.RemoteAddr()
	if tcp, ok := adr.(*net.TCPAddr); ok {
		return tcp.IP.String()
	}
	return adr.String()
}

// Close implements net.Listener.
func (li *listener) Close() error {
	li.cancel()
	return errors.Trace(li.Listener.Close())
}

// ended returns a channel that is closed when all connections are closed. Accept must
// not be called any more.
func (li *listener) ended() <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		li.open.Wait()
	}()
	return ended
}
