package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// boundedListener closes connections over a limit at once, so that callers see
// the rejection instead of waiting in the backlog of the kernel.
type boundedListener struct {
	net.Listener
	// places holds one token for each open connection.
	places chan struct{}
	count  func(name string)
}

// Accept returns the next connection within the limit.
func (bl *boundedListener) Accept() (net.Conn, error) {
	for {
		con, err := bl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case bl.places <- struct{}{}:
			return &boundedConn{Conn: con, left: bl.places, once: make(chan struct{}, 1), count: bl.count}, nil
		default:
			bl.count("rejectedConnections")
			_ = con.Close()
		}
	}
}

// boundedConn is a connection of a caller. It gives its place back when it is
// closed for the first time.
type boundedConn struct {
	net.Conn
	left  <-chan struct{}
	once  chan struct{}
	count func(name string)
	// served is set by the first request that reaches a handler. Before that
	// only net/http writes, which answers requests that it cannot read.
	served atomic.Bool
}

// Write writes to the caller. Answers of net/http itself get the outcome that
// every response carries.
func (bc *boundedConn) Write(buf []byte) (int, error) {
	if bc.served.Load() || !bytes.HasPrefix(buf, []byte("HTTP/1.1 ")) {
		return bc.Conn.Write(buf)
	}
	name := "rejectedMalformed"
	if bytes.HasPrefix(buf, []byte("HTTP/1.1 431")) {
		name = "rejectedHeaderTooLarge"
	}
	bc.count(name)
	marked := bytes.Replace(buf, []byte("\r\n"), []byte("\r\n"+HeaderOutcome+": "+OutcomeNotRun+"\r\n"), 1)
	if _, err := bc.Conn.Write(marked); err != nil {
		return 0, err
	}
	return len(buf), nil
}

// Close closes the connection.
func (bc *boundedConn) Close() error {
	select {
	case bc.once <- struct{}{}:
		<-bc.left
		if !bc.served.Load() {
			bc.count("closedBeforeRequest")
		}
	default:
	}
	return bc.Conn.Close()
}

// callerConn is the key of the connection in the context of a request.
type callerConn struct{}

func withConn(ctx context.Context, con net.Conn) context.Context {
	return context.WithValue(ctx, callerConn{}, con)
}

// markServed records that a request of the connection reached a handler.
func markServed(req *http.Request) {
	if bc, ok := req.Context().Value(callerConn{}).(*boundedConn); ok {
		bc.served.Store(true)
	}
}
