package entry

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/juju/errors"
)

// body is the request body on its way to a backend server. The transport may
// still read it while the handler ends, so its state is atomic.
type body struct {
	src   io.Reader
	limit int64
	read  atomic.Int64
	// over is set at the end of the body, large when the limit was exceeded.
	over  atomic.Bool
	large atomic.Bool
}

// newBody returns the body of req, or nothing when it has none.
func newBody(req *http.Request, limit int64) *body {
	if req.Body == nil || req.Body == http.NoBody || req.ContentLength == 0 {
		return nil
	}
	return &body{src: req.Body, limit: limit}
}

// Read reads from the caller within the limit.
func (bo *body) Read(buf []byte) (int, error) {
	num, err := bo.src.Read(buf)
	if bo.read.Add(int64(num)) > bo.limit {
		bo.large.Store(true)
		return 0, errors.Trace(&BodyTooLargeError{limit: bo.limit})
	}
	if err == io.EOF {
		bo.over.Store(true)
	}
	return num, err
}

// Close does nothing: net/http closes the body of the caller, and a request
// that was not sent may still go to another server.
func (bo *body) Close() error { return nil }

// touched reports whether bytes of the body were read.
func (bo *body) touched() bool { return bo != nil && bo.read.Load() > 0 }

// finished reports whether the body was read to its end.
func (bo *body) finished() bool { return bo == nil || bo.over.Load() }

// tooLarge reports whether the body exceeds the limit.
func (bo *body) tooLarge() bool { return bo != nil && bo.large.Load() }
