package httpd

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// listener is a net.Listener whose connections end when it is closed, except for those
// on which a byte of a request has been read.
type listener struct {
	net.Listener
	// closing ends when the listener is closed.
	closing context.Context
	cancel  context.CancelFunc
	// open counts the open connections.
	open sync.WaitGroup
}

func newListener(lis net.Listener) *listener {
	li := &listener{Listener: lis}
	li.closing, li.cancel = context.WithCancel(context.Background())
	return li
}

// Accept implements net.Listener. It returns the error as it is, because http.Server
// checks its type.
func (li *listener) Accept() (net.Conn, error) {
	inner, err := li.Listener.Accept()
	if err != nil {
		return nil, err
	}
	li.open.Add(1)
	con := &conn{Conn: inner, awaiting: true}
	stop := context.AfterFunc(li.closing, con.expire)
	con.release = sync.OnceFunc(func() {
		stop()
		li.open.Done()
	})
	return con, nil
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

// conn is an accepted connection. A read deadline in the past ends it while it waits for
// a request: a read that has returned bytes before is not affected, so that no request is
// read and then dropped.
type conn struct {
	net.Conn
	// release is called when the connection is closed. It may be called more than once.
	release func()

	// mu guards the fields below and the order of read deadlines.
	mu sync.Mutex
	// awaiting is true while no byte of the next request has been read.
	awaiting bool
	// ahead is set when a byte of the next request has been read before the present
	// one has ended: package http reads one byte to learn that a client is gone.
	ahead bool
	// expired is set when the listener is closed.
	expired bool
	// deadline is the read deadline that package http has set last.
	deadline time.Time
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if num > 0 {
		con.mu.Lock()
		if con.awaiting && con.expired {
			// The listener was closed after these bytes had been read.
			_ = con.Conn.SetReadDeadline(con.deadline)
		}
		con.awaiting, con.ahead = false, len(buf) == 1
		con.mu.Unlock()
	}
	return num, err
}

// SetReadDeadline implements net.Conn. An expired connection that waits for a request
// keeps its deadline in the past.
func (con *conn) SetReadDeadline(at time.Time) error {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.deadline = at
	if con.awaiting && con.expired {
		at = time.Unix(1, 0)
	}
	return con.Conn.SetReadDeadline(at)
}

// begin is called when the handler of a request begins. If the request was read together
// with the one before it, the connection still seems to wait for it.
func (con *conn) begin() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.awaiting && con.expired {
		_ = con.Conn.SetReadDeadline(con.deadline)
	}
	con.awaiting = false
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// expire ends the connection if it waits for a request, and otherwise before the next
// request.
func (con *conn) expire() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.expired = true
	if con.awaiting {
		_ = con.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// CloseWrite closes the sending direction if the underlying connection can do that.
// Package http uses it to deliver the response to a request whose body it has not read.
func (con *conn) CloseWrite() error {
	if cwr, ok := con.Conn.(interface{ CloseWrite() error }); ok {
		return cwr.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (con *conn) Close() error {
	defer con.release()
	return con.Conn.Close()
}

// connState marks a connection that waits for its next request.
func connState(nc net.Conn, state http.ConnState) {
	con, ok := nc.(*conn)
	if !ok || state != http.StateIdle {
		return
	}
	con.mu.Lock()
	con.awaiting, con.ahead = !con.ahead, false
	con.mu.Unlock()
}
