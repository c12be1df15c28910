package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"guavarail/io/httpd"
)

// boundedListener limits the number of open connections. It closes a connection
// over the limit at once, so that the caller sees the rejection instead of waiting
// in the kernel's accept backlog.
type boundedListener struct {
	net.Listener
	// tokens holds one token for each open connection; its capacity is the limit.
	tokens chan struct{}
	// count increments the named metric.
	count func(name string)
}

// Accept returns the next connection within the limit.
func (bl *boundedListener) Accept() (net.Conn, error) {
	for {
		con, err := bl.Listener.Accept()
		if err != nil {
			return nil, err
		}
		select {
		case bl.tokens <- struct{}{}:
			return &boundedConn{Conn: con, tokens: bl.tokens, closed: make(chan struct{}, 1), count: bl.count}, nil
		default:
			bl.count("rejectedConnections")
			_ = con.Close()
		}
	}
}

// boundedConn is a connection of a caller. The first call of Close returns its
// token to the listener.
type boundedConn struct {
	net.Conn
	tokens <-chan struct{}
	// closed holds a value after the first call of Close.
	closed chan struct{}
	count  func(name string)
	// reachedHandler is set by the first request that reaches a handler. Before
	// that only net/http itself writes, to reject requests that it cannot parse.
	reachedHandler atomic.Bool
}

// Write writes to the caller. It adds the outcome header, which every response
// carries, to responses that net/http itself generates.
func (bc *boundedConn) Write(buf []byte) (int, error) {
	if bc.reachedHandler.Load() || !bytes.HasPrefix(buf, []byte("HTTP/1.1 ")) {
		return bc.Conn.Write(buf)
	}
	name := "rejectedMalformed"
	if bytes.HasPrefix(buf, []byte("HTTP/1.1 431")) {
		name = "rejectedHeaderTooLarge"
	}
	bc.count(name)
	withOutcome := bytes.Replace(buf, []byte("\r\n"), []byte("\r\n"+HeaderOutcome+": "+OutcomeNotRun+"\r\n"), 1)
	if _, err := bc.Conn.Write(withOutcome); err != nil {
		return 0, err
	}
	return len(buf), nil
}

// Close closes the connection.
func (bc *boundedConn) Close() error {
	select {
	case bc.closed <- struct{}{}:
		<-bc.tokens
		if !bc.reachedHandler.Load() {
			bc.count("closedBeforeRequest")
		}
	default:
	}
	return bc.Conn.Close()
}

// callerConnKey is the key of the caller's connection in the context of a request.
type callerConnKey struct{}

// withCallerConn returns a context with the caller's connection.
func withCallerConn(ctx context.Context, con net.Conn) context.Context {
	if bc, ok := con.(*boundedConn); ok {
		ctx = httpd.WithConn(ctx, bc.Conn)
	}
	return context.WithValue(ctx, callerConnKey{}, con)
}

// callerConnState reports that a connection waits for its next request.
func callerConnState(con net.Conn, state http.ConnState) {
	if bc, ok := con.(*boundedConn); ok {
		httpd.ConnState(bc.Conn, state)
	}
}

// markReachedHandler records that a request of the connection reached a handler.
func markReachedHandler(req *http.Request) {
	if bc, ok := req.Context().Value(callerConnKey{}).(*boundedConn); ok {
		bc.reachedHandler.Store(true)
	}
}
