package entry

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"guavarail/core/once"
	"guavarail/core/route"
)

// exchange is one request of a caller and the response to it. The handler goroutine
// owns it. The actor posts routing decisions to it, and the goroutine of the round
// trip posts the response.
type exchange struct {
	srv  *Server
	meta meta
	// decisions buffers the decision on an attempt and the one on a cancellation,
	// so that the actor never blocks.
	decisions chan route.Effect
	// replies is unbuffered: either the handler receives the response or, once
	// abandoned is closed, the goroutine of the round trip discards it.
	replies   chan reply
	abandoned chan struct{}
	// claimOwner is the owner that the idempotency key is claimed for; empty if the
	// key is not claimed.
	claimOwner string
	// number is unique in this process.
	number uint64
}

// reply is an informational response or the end of a round trip.
type reply struct {
	// code is the status of an informational response; 0 for the end of a round
	// trip.
	code   int
	header textproto.MIMEHeader
	// resp and err are the result of the round trip.
	resp *http.Response
	err  error
	// mayHaveWritten reports whether bytes of the request were or may have been
	// written. If not, the request was certainly not run.
	mayHaveWritten bool
}

// postDecision passes a decision of the actor to the handler. It does not block.
func (ex *exchange) postDecision(eff route.Effect) { ex.decisions <- eff }

// roundTrip sends the request out and posts the result to the handler. If the
// handler abandoned the exchange, it discards the late response and calls
// onLateEnd.
func (ex *exchange) roundTrip(ctx context.Context, out *http.Request, onLateEnd func()) {
	// The handler does not change the exchange after it closed abandoned, so this
	// goroutine may then use it.
	tra := &tracer{ex: ex}
	out = out.WithContext(httptrace.WithClientTrace(ctx, tra.hooks(ctx)))
	resp, err := ex.srv.transport.RoundTrip(out)
	rep := reply{resp: resp, err: err, mayHaveWritten: tra.mayHaveWritten(ctx)}
	select {
	case ex.replies <- rep:
	case <-ex.abandoned:
		if resp != nil {
			discardBody(resp.Body)
			if wasRun(resp) {
				ex.settle(once.Answered)
			}
		}
		onLateEnd()
	}
}

// wasRun reports whether a response shows that the request was run. The response
// may come from a backend server or from another entry VM.
func wasRun(resp *http.Response) bool {
	outcome := resp.Header.Get(HeaderOutcome)
	return resp.Header.Get(HeaderNotRun) != "true" && (outcome == "" || outcome == OutcomeAnswered)
}

// discardBody reads a response body to its end, so that the connection can be
// reused, and closes it.
func discardBody(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}

// tracer records the connections that the transport uses for one request.
type tracer struct {
	ex *exchange
	// lastUse is nil until the request has a connection.
	lastUse atomic.Pointer[connUse]
	// resent is set if the transport tried to send the request again.
	resent atomic.Bool
}

// connUse is the use of a connection for one request. writtenBefore is the number
// of bytes that were written to the connection before the request.
type connUse struct {
	con           *countedConn
	writtenBefore int64
}

// hooks returns the functions that net/http calls during the round trip. They record
// connections and post informational responses to the handler.
func (tra *tracer) hooks(ctx context.Context) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: tra.gotConn,
		Got1xxResponse: func(code int, hdr textproto.MIMEHeader) error {
			if code == http.StatusContinue {
				// net/http sends 100 Continue to the caller when the body is read.
				return nil
			}
			select {
			case tra.ex.replies <- reply{code: code, header: hdr}:
			case <-tra.ex.abandoned:
			case <-ctx.Done():
			}
			return nil
		},
	}
}

// gotConn records the connection of the request. It runs before the transport writes
// to the connection.
func (tra *tracer) gotConn(info httptrace.GotConnInfo) {
	con, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	if tra.wrote() {
		// The transport sends some requests again when a reused connection is
		// closed before the response. The request may already be running, so
		// writes to the second connection are blocked.
		tra.resent.Store(true)
		con.blockWrites()
	}
	ex := tra.ex
	con.onNextWrite(func() { ex.srv.ref.Send(route.NewSent(ex)) })
	tra.lastUse.Store(&connUse{con: con, writtenBefore: con.written.Load()})
}

// wrote reports whether bytes of the request were written to any connection.
func (tra *tracer) wrote() bool {
	use := tra.lastUse.Load()
	return tra.resent.Load() || (use != nil && use.con.written.Load() > use.writtenBefore)
}

// mayHaveWritten is like wrote, but also returns true if ctx ended after the request
// got a connection, since a write may then still be in progress.
func (tra *tracer) mayHaveWritten(ctx context.Context) bool {
	return tra.wrote() || (tra.lastUse.Load() != nil && ctx.Err() != nil)
}

// newRequest builds the request to a backend server or to an entry VM of another
// data centre. remaining is the time until its deadline.
func (ex *exchange) newRequest(req *http.Request, addr string, remaining time.Duration, body *body) *http.Request {
	url := *req.URL
	url.Scheme, url.Host = "http", addr
	out := &http.Request{
		Method: req.Method, URL: &url, Host: req.Host, Header: outgoingHeaders(req, remaining),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: req.ContentLength,
		Trailer: req.Trailer,
	}
	if body != nil {
		out.Body = body
	}
	return out
}
