package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/limit"
)

// listener is a net.Listener whose connections end when it is closed, except for those
// on which a byte of a request has been read.
type listener struct {
	net.Listener
	// closing ends when the listener is closed.
	closing context.Context
	cancel  context.CancelFunc
	// open counts the open connections.
	open   sync.WaitGroup
	bounds *Bounds
}

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

// phase is what a connection is reading.
type phase int

const (
	// phaseIdle: nothing of the next request has been read.
	phaseIdle phase = iota
	// phaseHead: a part of the head.
	phaseHead
	// phaseBody: a part of the body that ReadBody reads.
	phaseBody
	// phaseServed: the head, by a handler that reads the body itself, or all.
	phaseServed
)

// conn is an accepted connection. A read deadline in the past ends it while it waits for
// a request: a read that has returned bytes before is not affected, so that no request is
// read and then dropped.
type conn struct {
	net.Conn
	// bounds is nil in tests that have none.
	bounds *Bounds
	// lease is the memory that the connection holds.
	lease *limit.Lease
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
	// evicted is set when the connection must end to make room for others.
	evicted bool
	// deadline is the read deadline that package http has set last.
	deadline time.Time
	phase    phase
	// since is the start of the phase; in phaseBody, the time of the last progress.
	since time.Time
	// fresh is true before the first request.
	fresh bool
	// headBytes is the number of bytes that were read in phaseHead, and headHeld the
	// memory that has been reserved for them.
	headBytes, headHeld int64
}

// Read implements net.Conn.
func (con *conn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if num <= 0 {
		con.refuseEvicted()
		return num, err
	}
	head := con.received(num, len(buf) == 1)
	if head <= buffer.SmallBytes || con.bounds == nil {
		return num, err
	}
	if head > con.bounds.Limits().MaxHeader+headSlack {
		con.bounds.budget.Count(limit.LargeHead)
		con.refuse(responseLargeHead, buf)
		return 0, os.ErrDeadlineExceeded
	}
	if con.reserveHead(head) != nil {
		con.bounds.budget.Count(limit.RefusedMemory)
		con.refuse(responseNoMemory, buf)
		return 0, os.ErrDeadlineExceeded
	}
	return num, err
}

// received takes note of bytes that were read and returns the bytes of the head so far, 0
// if no head is being read.
func (con *conn) received(num int, single bool) int64 {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.awaiting && con.expired {
		// The listener was closed after these bytes had been read.
		con.awaiting = false
		con.applyDeadline()
	}
	con.awaiting, con.ahead = false, single
	switch con.phase {
	case phaseIdle:
		con.phase, con.since, con.headBytes = phaseHead, time.Now(), int64(num)
	case phaseHead:
		con.headBytes += int64(num)
	case phaseBody:
		if now := time.Now(); now.Sub(con.since) > progressInterval {
			con.since = now
			con.applyDeadline()
		}
		return 0
	case phaseServed:
		return 0
	}
	return con.headBytes
}

// reserveHead reserves the memory for a head of which size bytes have been read.
func (con *conn) reserveHead(size int64) error {
	con.mu.Lock()
	held := con.headHeld
	con.mu.Unlock()
	want := headCopies * (size - buffer.SmallBytes)
	if want <= held {
		return nil
	}
	want = (want + headStep - 1) / headStep * headStep
	if err := con.lease.Reserve(context.Background(), want-held); err != nil {
		return err
	}
	con.mu.Lock()
	con.headHeld = want
	con.mu.Unlock()
	return nil
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

// phaseEnd returns the time at which the present phase must end, zero if it has no bound.
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

// limitsChanged applies changed limits.
func (con *conn) limitsChanged() {
	con.mu.Lock()
	defer con.mu.Unlock()
	_ = con.applyDeadline()
}

// begin is called when the handler of a request begins. If the request was read together
// with the one before it, the connection still seems to wait for it. It returns false if
// the request must not be served, because the connection has been evicted.
func (con *conn) begin(body bool) bool {
	if !body && !con.lease.Serve() {
		return false
	}
	con.mu.Lock()
	defer con.mu.Unlock()
	con.awaiting, con.fresh, con.phase = false, false, phaseServed
	_ = con.applyDeadline()
	return true
}

// bodyBegins is called when a part of the body of a request is read that has not arrived
// with its head.
func (con *conn) bodyBegins() {
	con.mu.Lock()
	defer con.mu.Unlock()
	if con.phase != phaseBody {
		con.phase, con.since = phaseBody, time.Now()
		_ = con.applyDeadline()
	}
}

// bodyRead is called when the body of a request has been read as a whole. Its result is
// that of begin.
func (con *conn) bodyRead() bool {
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

// refuseEvicted answers the request whose head is being read on an evicted connection.
func (con *conn) refuseEvicted() {
	con.mu.Lock()
	answer := con.evicted && con.phase == phaseHead && con.headBytes > 0
	con.mu.Unlock()
	if answer {
		con.refuse(responseNoMemory, nil)
	}
}

// refuse writes the response to a request whose head has not been read as a whole. It
// then reads from the connection into buf for a short time, because unread bytes would
// make the client lose the response.
func (con *conn) refuse(response string, buf []byte) {
	_ = con.Conn.SetWriteDeadline(time.Now().Add(refuseTimeout))
	_, _ = io.WriteString(con.Conn, response)
	// Package http must not write a second response.
	_ = con.CloseWrite()
	if len(buf) == 0 {
		return
	}
	_ = con.Conn.SetReadDeadline(time.Now().Add(refuseTimeout))
	for read := 0; read < maxUnread; {
		num, err := con.Conn.Read(buf)
		if err != nil {
			return
		}
		read += num
	}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
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
	con.phase, con.since, con.headBytes, con.headHeld = phaseIdle, time.Now(), 0, 0
	if con.ahead {
		con.phase, con.headBytes = phaseHead, 1
	}
	con.awaiting, con.ahead = !con.ahead, false
}
