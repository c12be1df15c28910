package httpd

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"guavarail/io/limit"
)

// phase is what a connection is reading.
type phase int

const (
	// phaseIdle: nothing of the next request has arrived.
	phaseIdle phase = iota
	// phaseHead: a part of the head.
	phaseHead
	// phaseBody: the body, by ReadBody.
	phaseBody
	// phaseServed: nothing, or the body by a handler that does not use ReadBody.
	phaseServed
)

// lineEnd ends a line of a head.
var lineEnd = []byte("\n")

// conn is an accepted connection. A read deadline in the past ends it while it waits for
// a request: a read that has returned bytes before is not affected, so that no request is
// read and then dropped.
type conn struct {
	net.Conn
	// bounds may be nil for no bounds.
	bounds *Bounds
	// lease is the memory that the connection holds.
	lease *limit.Lease
	// release is called when the connection is closed. It may be called more than once.
	release func()

	// mu guards the fields below and the order of read deadlines.
	mu sync.Mutex
	// awaiting is true while no byte of the next request has been read.
	awaiting bool
	// readAhead is set when a byte of the next request has been read before the present
	// one has ended: package http reads one byte to learn that a client is gone.
	readAhead bool
	// expired is set when the listener is closed.
	expired bool
	// evicted is set when the connection must end to make room for others.
	evicted bool
	// deadline is the read deadline that package http has set last.
	deadline time.Time
	phase    phase
	// since is the start of the phase; in phaseBody, the time of the last progress.
	since time.Time
	// fresh is true before the first request.
	fresh bool
	// head is what was read in phaseHead, and headHeld the memory that has been reserved
	// for it.
	head     headCount
	headHeld int64
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if num <= 0 {
		con.rejectEvicted()
		return num, err
	}
	if head := con.received(buf[:num], len(buf) == 1); !con.admitHead(head, buf) {
		return 0, os.ErrDeadlineExceeded
	}
	return num, err
}

// received counts bytes that were read and returns what has arrived of the head, nothing if
// no head is being read. single is true for a read of one byte; see readAhead.
func (con *conn) received(buf []byte, single bool) headCount {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.awaiting && con.expired {
		// The listener was closed after these bytes had been read.
		con.awaiting = false
		con.applyDeadline()
	}
	con.awaiting, con.readAhead = false, single
	switch con.phase {
	case phaseIdle:
		con.phase, con.since, con.head = phaseHead, time.Now(), headCount{}
	case phaseHead:
	case phaseBody:
		if now := time.Now(); now.Sub(con.since) > progressInterval {
			con.since = now
			con.applyDeadline()
		}
		return headCount{}
	case phaseServed:
		return headCount{}
	}
	con.head.bytes += int64(len(buf))
	con.head.lines += int64(bytes.Count(buf, lineEnd))
	return con.head
}

// SetReadDeadline implements net.Conn. An expired connection that waits for a request
// keeps its deadline in the past.
func (con *conn) SetReadDeadline(at time.Time) error {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.deadline = at
	return con.applyDeadline()
}

// applyDeadline sets the read deadline to the earliest one that applies. The caller holds
// the mutex.
func (con *conn) applyDeadline() error {
	at := con.deadline
	if own := con.phaseEnd(); !own.IsZero() && (at.IsZero() || own.Before(at)) {
		at = own
	}
	if con.evicted || con.awaiting && con.expired {
		at = time.Unix(1, 0)
	}
	return con.Conn.SetReadDeadline(at)
}

// phaseEnd returns the read deadline of the present phase, zero if it has none.
// The caller holds the mutex.
func (con *conn) phaseEnd() time.Time {
	if con.bounds == nil {
		return time.Time{}
	}
	lim := con.bounds.Limits()
	switch con.phase {
	case phaseIdle:
		if con.fresh {
			return con.since.Add(lim.HeaderTimeout)
		}
		return con.since.Add(lim.IdleTimeout)
	case phaseHead:
		return con.since.Add(lim.HeaderTimeout)
	case phaseBody:
		return con.since.Add(progressTimeout)
	}
	return time.Time{}
}

// limitsChanged applies the limits in effect to the present phase.
func (con *conn) limitsChanged() {
	con.mu.Lock()
	defer con.mu.Unlock()
	_ = con.applyDeadline()
}

// requestBegins is called when the handler of a request begins, which may have been read
// together with the request before it. It returns false if the request must not be served,
// because the connection has been evicted.
func (con *conn) requestBegins(hasBody bool) bool {
	if !hasBody && !con.lease.Serve() {
		return false
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	con.awaiting, con.fresh, con.phase = false, false, phaseServed
	_ = con.applyDeadline()
	return true
}

// bodyBegins is called before a read of a part of a body that did not arrive with the
// head.
func (con *conn) bodyBegins() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.phase != phaseBody {
		con.phase, con.since = phaseBody, time.Now()
		_ = con.applyDeadline()
	}
}

// bodyComplete is called when the body of a request has been read as a whole. Its result
// is that of requestBegins.
func (con *conn) bodyComplete() bool {
	if !con.lease.Serve() {
		return false
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.phase == phaseBody {
		con.phase = phaseServed
		_ = con.applyDeadline()
	}
	return true
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

// connOf returns the connection of a request, and false if no server of this package
// received it.
func connOf(ctx context.Context) (*conn, bool) {
	con, ok := ctx.Value(connKey{}).(*conn)
	return con, ok
}

// evict ends the connection, whose request has not been read as a whole.
func (con *conn) evict() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.evicted = true
	_ = con.applyDeadline()
}

// expire ends the connection if it waits for a request, and otherwise before the next
// request.
func (con *conn) expire() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.expired = true
	if con.awaiting {
		_ = con.applyDeadline()
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
	con.idle()
	con.lease.Settle()
}

// idle marks the end of a request.
func (con *conn) idle() {
	con.mu.Lock()
	defer con.mu.Unlock()
	con.phase, con.since, con.head, con.headHeld = phaseIdle, time.Now(), headCount{}, 0
	if con.readAhead {
		con.phase, con.head = phaseHead, headCount{bytes: 1}
	}
	con.awaiting, con.readAhead = !con.readAhead, false
}
