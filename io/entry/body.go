package entry

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/juju/errors"
)

// body passes the request body of a caller to a backend server. The transport
// may still read it after the handler returned, so its state is atomic. A nil
// *body stands for an empty body.
type body struct {
	src io.Reader
	// limit is the maximum size of the body in bytes.
	limit     int64
	bytesRead atomic.Int64
	// atEOF is set at the end of the body, overLimit when more than limit bytes
	// were read.
	atEOF     atomic.Bool
	overLimit atomic.Bool
}

// newBody returns the body of req, or nil if it has none. limit is in bytes.
func newBody(req *http.Request, limit int64) *body {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return nil
	}
	return &body{src: req.Body, limit: limit}
}

// Read reads from the caller. It returns a *BodyTooLargeError once more than limit
// bytes were read.
func (bo *body) Read(buf []byte) (int, error) {
	num, err := bo.src.Read(buf)
	if bo.bytesRead.Add(int64(num)) > bo.limit {
		bo.overLimit.Store(true)
		return 0, errors.Trace(&BodyTooLargeError{limit: bo.limit})
	}
	if err == io.EOF {
		bo.atEOF.Store(true)
	}
	return num, err
}

// Close does nothing: net/http closes the body of the caller, and a request
// that was not sent may still be sent to another backend server.
func (bo *body) Close() error { return nil }

// consumed reports whether bytes of the body were read, in which case the
// request cannot be sent to another backend server.
func (bo *body) consumed() bool { return bo != nil && bo.bytesRead.Load() > 0 }

// reachedEOF reports whether the body was read to its end.
func (bo *body) reachedEOF() bool { return bo == nil || bo.atEOF.Load() }

// tooLarge reports whether the body exceeds the limit.
func (bo *body) tooLarge() bool { return bo != nil && bo.overLimit.Load() }
