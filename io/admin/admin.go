// Package admin serves the HTTP API for operators, workers and backend servers.
//
// Every VM accepts every call. A call that another VM has to answer, such as the
// leader of a replication group, is forwarded to that VM.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/juju/errors"

	"guavarail/core/buffer"
	"guavarail/core/model"
	"guavarail/io/httpd"
)

const (
	// MaxBodyBytes bounds a request body. The largest bodies, the report of a
	// worker that runs many tasks and a job with all its constraints, are far
	// smaller.
	MaxBodyBytes = 1 << 20
	// maxHops bounds how often a call is forwarded. Two hops cover a change of
	// leader while the call is in flight.
	maxHops = 2
	// forwardCopies is the number of copies of a body that forwarding the call takes.
	forwardCopies = 2
	// retryAfterSeconds is the Retry-After value of a call that no VM can answer at this time.
	retryAfterSeconds = "1"
)

// Forwarder sends a call to another VM.
type Forwarder interface {
	Forward(ctx context.Context, to model.VMID, cal Call) (Reply, error)
}

// Call is one API call, received from a caller or forwarded by another VM.
type Call struct {
	// Method and Target are those of the HTTP request line; Target includes the
	// query.
	Method string
	Target string
	Body   []byte
	// Hops is how often the call has been forwarded so far.
	Hops int
}

// Reply is the answer to a Call.
type Reply struct {
	Status int
	Body   []byte
}

// Mux routes API calls to handlers. Use NewMux.
type Mux struct {
	mux *http.ServeMux
	fwd Forwarder
}

// NewMux returns a Mux with the handlers of all API calls.
func NewMux(por Ports) *Mux {
	mux := &Mux{mux: http.NewServeMux(), fwd: por.Forward}
	(&fleetAPI{por: por}).routes(mux)
	(&tasksAPI{por: por}).routes(mux)
	(&localAPI{por: por}).routes(mux)
	return mux
}

// HandlerFunc answers one kind of call. B is the type of the request body and A
// that of the answer. body is the decoded request body; the function reads path
// values and the query from req.
type HandlerFunc[B, A any] func(ctx context.Context, req *http.Request, body B) (A, error)

// Empty stands for the missing body of a call or an answer.
type Empty struct{}

// Handle registers han for calls that match pattern. A body that cannot be
// decoded is rejected with a BodyError before han runs.
func Handle[B, A any](mux *Mux, pattern string, han HandlerFunc[B, A]) {
	mux.mux.HandleFunc(pattern, func(wri http.ResponseWriter, req *http.Request) {
		var body B
		if err := decode(req, &body); err != nil {
			writeError(wri, err)
			return
		}
		ans, err := han(req.Context(), req, body)
		if err != nil {
			writeError(wri, err)
			return
		}
		writeAnswer(wri, ans)
	})
}

// ServeHTTP answers one HTTP request.
func (mux *Mux) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	body, err := httpd.ReadBody(req)
	if err == nil {
		err = httpd.Reserve(req, forwardCopies*len(body)+int(buffer.DecodedBytes(body)))
	}
	if err != nil {
		httpd.Refuse(wri, req, err)
		return
	}
	rep := mux.Serve(req.Context(), Call{Method: req.Method, Target: req.URL.RequestURI(), Body: body})
	// Only reads are refused here: other calls may have had an effect.
	if err := httpd.Reserve(req, len(rep.Body)); err != nil && req.Method == http.MethodGet {
		httpd.Refuse(wri, req, err)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	if rep.Status == http.StatusServiceUnavailable {
		wri.Header().Set("Retry-After", retryAfterSeconds)
	}
	wri.WriteHeader(rep.Status)
	_, _ = wri.Write(rep.Body)
}

// Serve answers one call, or forwards it when another VM has to answer it. If a
// read cannot be forwarded because the leader cannot be reached, Serve answers it
// from the local copy of the state.
func (mux *Mux) Serve(ctx context.Context, cal Call) Reply {
	req, err := http.NewRequestWithContext(ctx, cal.Method, cal.Target, bytes.NewReader(cal.Body))
	if err != nil {
		return errorReply(&BodyError{cause: err})
	}
	buf := &bufferWriter{header: http.Header{}, status: http.StatusOK}
	mux.mux.ServeHTTP(buf, req)
	if _, pattern := mux.mux.Handler(req); pattern == "" {
		// Replaces the plain text answer of the net/http router.
		return errorReply(&RouteError{method: cal.Method, path: req.URL.Path, pathExists: buf.status == http.StatusMethodNotAllowed})
	}
	if buf.forwardTo == "" {
		return Reply{Status: buf.status, Body: buf.body.Bytes()}
	}
	if cal.Hops >= maxHops || mux.fwd == nil {
		return errorReply(&ForwardError{vm: buf.forwardTo})
	}
	cal.Hops++
	rep, err := mux.fwd.Forward(ctx, buf.forwardTo, cal)
	switch {
	case err == nil:
		return rep
	case cal.Method == http.MethodGet && !isLocalRead(ctx):
		// With Hops at the limit, the second attempt is not forwarded.
		cal.Hops = maxHops
		return mux.Serve(context.WithValue(ctx, localReadKey{}, true), cal)
	}
	return errorReply(err)
}

// localReadKey is the context key that marks a call to be answered from the local
// copy of the state.
type localReadKey struct{}

// isLocalRead reports whether the call is marked with localReadKey.
func isLocalRead(ctx context.Context) bool { return ctx.Value(localReadKey{}) != nil }

// writeAnswer writes the JSON answer of a call that succeeded.
func writeAnswer(wri http.ResponseWriter, ans any) {
	body, err := json.Marshal(ans)
	if err != nil {
		writeError(wri, err)
		return
	}
	wri.Header().Set("Content-Type", "application/json")
	_, _ = wri.Write(body)
}

// decode reads the JSON body of req into body. An empty body leaves body at its
// zero value. Unknown fields are rejected, so that a misspelt field is not ignored.
func decode(req *http.Request, body any) error {
	dec := json.NewDecoder(req.Body)
	dec.DisallowUnknownFields()
	err := dec.Decode(body)
	if err == nil || errors.Is(err, io.EOF) {
		return nil
	}
	return &BodyError{cause: err}
}

// bufferWriter holds a response in memory until it is known whether the call has to
// be forwarded.
type bufferWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
	// forwardTo is the VM that has to answer, or empty if this VM answers.
	forwardTo model.VMID
}

// Header returns the header map.
func (buf *bufferWriter) Header() http.Header { return buf.header }

// WriteHeader sets the status.
func (buf *bufferWriter) WriteHeader(status int) { buf.status = status }

// Write appends to the body.
func (buf *bufferWriter) Write(dat []byte) (int, error) { return buf.body.Write(dat) }
