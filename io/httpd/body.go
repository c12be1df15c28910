package httpd

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"guavarail/core/buffer"
)

// maxSegment is the largest segment of a body that is being read, in bytes.
const maxSegment = 256 << 10

// noConn is the connection of a request that no server of this package received.
type noConn struct{ net.Conn }

// SetReadDeadline implements net.Conn.
func (noConn) SetReadDeadline(time.Time) error { return nil }

// ReadBody reads the body of a request. Its memory grows with what has arrived and is
// released after the response. The error is a *RefusalError; pass it to Refuse.
func ReadBody(req *http.Request) ([]byte, error) {
	con, ok := connOf(req.Context())
	if !ok {
		con = &conn{Conn: noConn{}, bounds: &Bounds{}}
	}
	if req.ContentLength == 0 {
		return nil, nil
	}
	buf, err := con.readBody(req)
	if err != nil {
		// A body that was refused needs no memory while its connection is being closed.
		con.lease.Settle()
		return nil, errors.Trace(err)
	}
	if ok && !con.bodyComplete() {
		con.lease.Settle()
		return nil, errors.Trace(errNoMemory)
	}
	return buf, nil
}

// readBody reads the body of a request in segments, whose size grows with what has
// arrived.
func (con *conn) readBody(req *http.Request) ([]byte, error) {
	maxBody := con.bounds.Limits().MaxBody
	if req.ContentLength > maxBody {
		return nil, errLargeBody
	}
	// The byte over the limit shows that an undeclared body is too large.
	size := maxBody + 1
	if req.ContentLength > 0 {
		size = req.ContentLength
	}
	seg := make([]byte, 0, min(size, buffer.SmallBytes))
	// full has the filled segments. They are joined only once the body is complete, so that
	// an incomplete body is never copied.
	var full [][]byte
	for read := int64(0); ; {
		num, err := req.Body.Read(seg[len(seg):cap(seg)])
		seg, read = seg[:len(seg)+num], read+int64(num)
		switch {
		case read > maxBody:
			return nil, errLargeBody
		case err == io.EOF || err == nil && read == size:
			return con.joinBody(req, full, seg, read)
		case err != nil:
			return nil, con.bodyError(err)
		case len(seg) == cap(seg):
			next := min(read, maxSegment, size-read)
			if con.lease.Reserve(req.Context(), next) != nil {
				return nil, errNoMemory
			}
			full, seg = append(full, seg), make([]byte, 0, next)
		}
		con.bodyBegins()
	}
}

// joinBody returns a body of size bytes that was read in segments.
func (con *conn) joinBody(req *http.Request, full [][]byte, last []byte, size int64) ([]byte, error) {
	if len(full) == 0 {
		return last, nil
	}
	if con.lease.Reserve(req.Context(), size) != nil {
		return nil, errNoMemory
	}
	out := make([]byte, 0, size)
	for _, seg := range full {
		out = append(out, seg...)
	}
	out = append(out, last...)
	// The segments are not needed any more.
	con.lease.Release(size - buffer.SmallBytes)
	return out, nil
}

// bodyError returns the refusal of a request whose body could not be read.
func (con *conn) bodyError(err error) *RefusalError {
	con.mu.Lock()
	defer con.mu.Unlock()
	var nerr net.Error
	switch {
	case con.evicted:
		return errNoMemory
	case errors.As(err, &nerr) && nerr.Timeout():
		return errTimeout
	}
	return errIncompleteBody
}

// Reserve reserves more memory for a request until its response has been written. The
// error is a *RefusalError; its status is 413 if there can never be so much.
func Reserve(req *http.Request, size int) error {
	con, ok := connOf(req.Context())
	if !ok || size <= buffer.SmallBytes {
		return nil
	}
	if !con.bounds.budget.Fits(con.bounds.class, int64(size)) {
		return errors.Trace(errLargeBody)
	}
	if con.lease.Reserve(req.Context(), int64(size)) != nil {
		return errors.Trace(errNoMemory)
	}
	return nil
}
