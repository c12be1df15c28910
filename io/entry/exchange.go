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

// exchange is one request of a caller. The handler goroutine owns it. The
// actor posts verdicts, the goroutine of the round trip posts the response.
type exchange struct {
	srv  *Server
	meta meta
	// verdicts has room for the verdict on an attempt and the one on a
	// withdrawal, so that the actor never blocks.
	verdicts chan route.Effect
	// replies is unbuffered: either the handler takes the response or, once
	// gone is closed, the goroutine of the round trip drains it.
	replies chan reply
	gone    chan struct{}
	owner   string
	number  uint64
}

// reply is an informational response or the end of a round trip.
type reply struct {
	// code is set for an informational response.
	code   int
	header textproto.MIMEHeader
	// resp and err are the result of the round trip.
	resp *http.Response
	err  error
	// wrote reports whether bytes of the request were written.
	wrote bool
}

func (ex *exchange) decide(eff route.Effect) { ex.verdicts <- eff }

// roundTrip sends out and posts the result to the handler. Once the handler is
// gone, it waits for the late response and reports the end of the connection.
func (ex *exchange) roundTrip(ctx context.Context, out *http.Request, late func()) {
	// The handler does not change the exchange after gone is closed.
	tra := &tracer{ex: ex}
	out = out.WithContext(httptrace.WithClientTrace(ctx, tra.hooks(ctx)))
	resp, err := ex.srv.transport.RoundTrip(out)
	rep := reply{resp: resp, err: err, wrote: tra.mayHaveWritten(ctx)}
	select {
	case ex.replies <- rep:
	case <-ex.gone:
		if resp != nil {
			drain(resp.Body)
			if ran(resp) {
				ex.settle(once.Answered)
			}
		}
		late()
	}
}

// ran reports whether a late response shows that the request was run.
func ran(resp *http.Response) bool {
	outcome := resp.Header.Get(HeaderOutcome)
	return resp.Header.Get(HeaderNotRun) != "true" && (outcome == "" || outcome == OutcomeAnswered)
}

// drain reads a response to its end, which frees the connection for the next
// request, and closes it.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body)
	_ = body.Close()
}

// tracer follows the connections that the transport uses for one request.
type tracer struct {
	ex   *exchange
	used atomic.Pointer[connUse]
	// resent is set when the transport tried to send the request again.
	resent atomic.Bool
}

// connUse is a connection with its count of bytes written before the request.
type connUse struct {
	con   *countedConn
	start int64
}

func (tra *tracer) hooks(ctx context.Context) *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: tra.gotConn,
		Got1xxResponse: func(code int, hdr textproto.MIMEHeader) error {
			if code == http.StatusContinue {
				// net/http answers Expect to the caller when the body is read.
				return nil
			}
			select {
			case tra.ex.replies <- reply{code: code, header: hdr}:
			case <-tra.ex.gone:
			case <-ctx.Done():
			}
			return nil
		},
	}
}

// gotConn runs before the transport writes to the connection.
func (tra *tracer) gotConn(info httptrace.GotConnInfo) {
	con, ok := info.Conn.(*countedConn)
	if !ok {
		return
	}
	if tra.wrote() {
		// The transport sends some requests again when a kept connection ends
		// before the response. The first one may be running, so the second
		// connection refuses it.
		tra.resent.Store(true)
		con.refuse()
	}
	ex := tra.ex
	con.onWrite(func() { ex.srv.ref.Send(route.NewSent(ex)) })
	tra.used.Store(&connUse{con: con, start: con.written.Load()})
}

// wrote reports whether bytes of the request went out on any connection.
func (tra *tracer) wrote() bool {
	use := tra.used.Load()
	return tra.resent.Load() || (use != nil && use.con.written.Load() > use.start)
}

// mayHaveWritten also counts a write that is still going on because the
// request was aborted.
func (tra *tracer) mayHaveWritten(ctx context.Context) bool {
	return tra.wrote() || (tra.used.Load() != nil && ctx.Err() != nil)
}

// request builds the request for a backend server or an entry VM of another
// data centre.
func (ex *exchange) request(req *http.Request, addr string, remaining time.Duration, body *body) *http.Request {
	url := *req.URL
	url.Scheme, url.Host = "http", addr
	out := &http.Request{
		Method: req.Method, URL: &url, Host: req.Host, Header: outgoing(req, remaining),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, ContentLength: req.ContentLength,
		Trailer: req.Trailer,
	}
	if body != nil {
		out.Body = body
	}
	return out
}
