package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
)

// stream is a yamux stream. Its deadlines are never moved to a later time, so that an
// expired stream stays expired.
type stream struct {
	inner *yamux.Stream
	set   *streamSet
	// unread is nil if the session does not count what yamux holds.
	unread *unread
}

// Read implements io.Reader. After the end of the session it returns the cause of the end.
func (str *stream) Read(buf []byte) (int, error) {
	num, err := str.inner.Read(buf)
	str.unread.read(str.inner.StreamID(), num)
	return num, str.set.translate(err)
}

// Write implements io.Writer. After the end of the session it returns the cause of the end.
func (str *stream) Write(buf []byte) (int, error) {
	num, err := str.inner.Write(buf)
	return num, str.set.translate(err)
}

// expire makes the Read or Write that waits, and all later ones that would wait, fail.
func (str *stream) expire() { _ = str.inner.SetDeadline(time.Now()) }

// close closes the stream, which must not be used afterwards.
func (str *stream) close() {
	str.set.remove(str)
	str.unread.close(time.Now(), str.inner.StreamID())
	_ = str.inner.Close()
}

// streamSet holds the streams of one session that are in use. The zero value is empty.
//
// A Read or Write that waits in yamux polls from the shutdown of the session until the
// session has closed its connection and then its streams, so all streams must be expired
// before. yamux shuts a session down on goroutines of its own that no task can delay;
// therefore a mutex guards the set, and no task owns it.
type streamSet struct {
	// mu guards all fields.
	mu sync.Mutex
	// cause is not nil once the set has ended. Every stream in open is then expired.
	cause error
	open  map[*stream]struct{}
}

// add adds a stream. It expires the stream if the set has ended.
func (set *streamSet) add(inner *yamux.Stream, un *unread) *stream {
	str := &stream{inner: inner, set: set, unread: un}
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.open == nil {
		set.open = map[*stream]struct{}{}
	}
	set.open[str] = struct{}{}
	if set.cause != nil {
		str.expire()
	}
	return str
}

// remove removes a stream that is no longer used.
func (set *streamSet) remove(str *stream) {
	set.mu.Lock()
	defer set.mu.Unlock()
	delete(set.open, str)
}

// end expires all streams. It does not block, and only the first call has an effect.
func (set *streamSet) end(cause error) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.cause != nil {
		return
	}
	set.cause = cause
	for str := range set.open {
		str.expire()
	}
}

// translate replaces the timeout of a stream that expired with the set by the cause of
// the end.
func (set *streamSet) translate(err error) error {
	if !errors.Is(err, yamux.ErrTimeout) {
		return err
	}
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.cause != nil {
		return set.cause
	}
	return err
}

// endingConn is the connection of a session. It ends the streams before yamux sees that
// the connection has failed, and when yamux closes the connection for another reason.
type endingConn struct {
	net.Conn
	streams *streamSet
}

// Read implements net.Conn. It returns the error as it is, because yamux compares it.
func (con endingConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	if err != nil {
		con.streams.end(err)
	}
	return num, err
}

// Write implements net.Conn.
func (con endingConn) Write(buf []byte) (int, error) {
	num, err := con.Conn.Write(buf)
	if err != nil {
		con.streams.end(err)
	}
	return num, err
}

// Close implements net.Conn. yamux calls it first after the shutdown of the session.
func (con endingConn) Close() error {
	con.streams.end(net.ErrClosed)
	return con.Conn.Close()
}

// muxConn is a yamux session whose streams end before it does.
type muxConn struct {
	ymx     *yamux.Session
	streams *streamSet
	// bounded is nil, and so is unread, if what yamux holds is not counted.
	bounded *boundedConn
	unread  *unread
}

// newMuxConn starts a yamux session on a connection; dialled says whether this VM dialled
// it. If it fails, it closes the connection. What yamux holds is counted on a boundedConn.
func newMuxConn(conn net.Conn, dialled bool, vars *Vars) (*muxConn, error) {
	mc := &muxConn{streams: &streamSet{}}
	if bc, ok := conn.(*boundedConn); ok && bc.unread != nil {
		mc.bounded, mc.unread = bc, bc.unread
	}
	open := yamux.Server
	if dialled {
		open = yamux.Client
	}
	ymx, err := open(endingConn{Conn: countedConn{Conn: conn, vars: vars}, streams: mc.streams}, yamuxConfig())
	if err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	mc.ymx = ymx
	return mc, nil
}

// open opens a stream.
func (mc *muxConn) open() (*stream, error) {
	inner, err := mc.ymx.OpenStream()
	if err != nil {
		return nil, errors.Trace(err)
	}
	mc.unread.open(inner.StreamID())
	return mc.streams.add(inner, mc.unread), nil
}

// accept returns the next stream that the other VM opened.
func (mc *muxConn) accept(ctx context.Context) (*stream, error) {
	inner, err := mc.ymx.AcceptStreamWithContext(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return mc.streams.add(inner, mc.unread), nil
}

// touch marks that a request or a message of the other VM was handled.
func (mc *muxConn) touch() {
	if mc.bounded != nil {
		mc.bounded.connection.Touch()
	}
}

// ping returns once the other VM has answered a ping.
func (mc *muxConn) ping() error {
	_, err := mc.ymx.Ping()
	return errors.Trace(err)
}

// close expires the streams and closes the session.
func (mc *muxConn) close() {
	mc.streams.end(yamux.ErrSessionShutdown)
	_ = mc.ymx.Close()
}
