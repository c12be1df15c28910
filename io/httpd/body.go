package httpd

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/io/limit"
)

// maxSegment is the largest segment of a body that is being read, in bytes.
const maxSegment = 256 << 10

// retryAfterSeconds is the Retry-After value of a request that was refused for lack of
// memory, which other requests release within a second.
const retryAfterSeconds = 1

// RefusalError reports that a request was not read as a whole, or that there was no memory
// for it. It was not carried out.
type RefusalError struct {
	status int
	cause  string
}

// Status returns the HTTP status of the response.
func (err *RefusalError) Status() int { return err.status }

// Error describes the failure.
func (err *RefusalError) Error() string {
	return "request refused with status " + strconv.Itoa(err.status) + ": " + err.cause
}

var (
	errNoMemory  = &RefusalError{status: http.StatusServiceUnavailable, cause: "no memory at this time, send it again"}
	errLargeHead = &RefusalError{status: http.StatusRequestHeaderFieldsTooLarge, cause: "head over the limit"}
	errLargeBody = &RefusalError{status: http.StatusRequestEntityTooLarge, cause: "body over the limit"}
	errTimeout   = &RefusalError{status: http.StatusRequestTimeout, cause: "the body did not arrive in time"}
	errCutBody   = &RefusalError{status: http.StatusBadRequest, cause: "the body could not be read to its end"}
)

// connOf returns the connection of a request, and false if no server of this package
// received it.
func connOf(ctx context.Context) (*conn, bool) {
	con, ok := ctx.Value(connKey{}).(*conn)
	return con, ok
}

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
	if ok && !con.bodyRead() {
		con.lease.Settle()
		return nil, errors.Trace(errNoMemory)
	}
	return buf, nil
}

// readBody reads the body of a request.
func (con *conn) readBody(req *http.Request) ([]byte, error) {
	most := con.bounds.Limits().MaxBody
	if req.ContentLength > most {
		return nil, errLargeBody
	}
	// The byte over the limit shows that an undeclared body is too large.
	size := most + 1
	if req.ContentLength > 0 {
		size = req.ContentLength
	}
	seg := make([]byte, 0, min(size, buffer.SmallBytes))
	// full has the segments that have been filled. A body that grows is not copied, so
	// that what does not arrive to its end leaves no garbage.
	var full [][]byte
	for read := int64(0); ; {
		num, err := req.Body.Read(seg[len(seg):cap(seg)])
		seg, read = seg[:len(seg)+num], read+int64(num)
		switch {
		case read > most:
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
	return append(out, last...), nil
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
	return errCutBody
}

// Hold reserves more memory for a request until its response has been written. The error
// is a *RefusalError.
func Hold(req *http.Request, size int) error {
	con, ok := connOf(req.Context())
	if !ok || size <= buffer.SmallBytes {
		return nil
	}
	if con.lease.Reserve(req.Context(), int64(size)) != nil {
		return errors.Trace(errNoMemory)
	}
	return nil
}

// Refuse writes the response to a request that was refused, and counts it. The connection
// ends after it, because the rest of the request is not read.
func Refuse(rsp http.ResponseWriter, req *http.Request, err error) {
	var ref *RefusalError
	if !errors.As(err, &ref) {
		ref = errCutBody
	}
	if con, ok := connOf(req.Context()); ok {
		con.bounds.budget.Count(ref.kind())
	}
	rsp.Header().Set("Connection", "close")
	if ref.status == http.StatusServiceUnavailable {
		rsp.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds))
	}
	rsp.WriteHeader(ref.status)
}

// kind returns the counter of the refusal.
func (err *RefusalError) kind() limit.Kind {
	switch err {
	case errNoMemory:
		return limit.RefusedMemory
	case errLargeHead:
		return limit.LargeHead
	case errLargeBody:
		return limit.LargeBody
	}
	return limit.Incomplete
}

// checkHead returns the refusal of a request whose head or declared body is over its
// limit, or whose connection has been evicted, and nil otherwise.
func (con *conn) checkHead(req *http.Request) error {
	lim := con.bounds.Limits()
	switch {
	case headSize(req) > lim.MaxHeader:
		return errLargeHead
	case req.ContentLength > lim.MaxBody:
		return errLargeBody
	case !con.begin(req.ContentLength != 0):
		return errNoMemory
	}
	return nil
}

// headSize returns the size of the head of a request in bytes, without optional spaces.
func headSize(req *http.Request) int64 {
	// Spaces, line ends and the name of the Host header.
	size := len(req.Method) + len(req.RequestURI) + len(req.Proto) + len("  \r\nHost: \r\n\r\n") + len(req.Host)
	for name, values := range req.Header {
		for _, val := range values {
			size += len(name) + len(val) + len(": \r\n")
		}
	}
	return int64(size)
}
