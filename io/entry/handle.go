package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/model"
	"guavarail/core/once"
	"guavarail/core/route"
	"guavarail/io/httpd"
)

// claimMaxRunTime is the time after which the outcome of a request counts as
// unknown if its entry VM did not settle the claim. It equals the highest maximum
// request time that a preset may set.
const claimMaxRunTime = 10 * time.Minute

// handle serves one request of a caller on its own goroutine.
func (srv *Server) handle(wri http.ResponseWriter, req *http.Request) {
	markReachedHandler(req)
	me := parseMeta(req)
	srv.extendWriteDeadline(wri)
	if !srv.Ready() {
		wri.Header().Set("Connection", "close")
	}
	if status, reason := srv.validate(me, req); status != 0 {
		srv.replyNotRun(wri, status, reason, 0)
		return
	}
	if status, reason := reserve(req); status != 0 {
		wri.Header().Set("Connection", "close")
		srv.replyNotRun(wri, status, reason, 0)
		return
	}
	ex := &exchange{
		srv: srv, meta: me, number: srv.goroutines.requestCount.Add(1),
		decisions: make(chan route.Effect, 2), replies: make(chan reply), abandoned: make(chan struct{}),
	}
	if me.key != "" && !ex.claim(wri, req) {
		return
	}
	ex.run(wri, req)
}

// exchangeBytes is the memory of a request while it is sent on and answered: the buffers of
// the connection to a backend server and of the copied bodies.
const exchangeBytes = 64 << 10

// reserve reserves the memory of a request until its response has been written. It returns
// the HTTP status and the reason for rejecting the request, or 0.
func reserve(req *http.Request) (int, string) {
	err := httpd.Admit(req)
	if err == nil {
		err = httpd.Reserve(req, exchangeBytes)
	}
	var refusal *httpd.RefusalError
	switch {
	case !errors.As(err, &refusal):
		return 0, ""
	case refusal.Status() == http.StatusRequestHeaderFieldsTooLarge:
		httpd.CountRefusal(req, refusal)
		return refusal.Status(), "headerTooLarge"
	}
	httpd.CountRefusal(req, refusal)
	return http.StatusServiceUnavailable, "noMemory"
}

// validate returns the HTTP status and the reason for rejecting a request that cannot
// be run, or 0 for a valid one. A request that was forwarded twice, or back to this
// data centre, is rejected.
func (srv *Server) validate(me meta, req *http.Request) (int, string) {
	switch {
	case me.service == "":
		return http.StatusNotFound, "noService"
	case me.badHeader != "":
		return http.StatusBadRequest, "badHeader"
	case req.Method == http.MethodConnect:
		return http.StatusMethodNotAllowed, "badMethod"
	case req.ContentLength > srv.cfg.Limits.BodyBytes:
		return http.StatusRequestEntityTooLarge, "bodyTooLarge"
	case slices.Contains(me.traversed, srv.cfg.Centre) || len(me.traversed) > 1:
		return http.StatusServiceUnavailable, "secondHop"
	}
	return 0, ""
}

// run requests a slot and sends the request. It repeats this after each attempt to
// send the request in which no byte was sent.
func (ex *exchange) run(wri http.ResponseWriter, req *http.Request) {
	srv, me := ex.srv, ex.meta
	bod := newBody(req, srv.cfg.Limits.BodyBytes)
	spec := route.RequestSpec{
		Service: me.service, Caller: me.caller, Timeout: me.timeout,
		Idempotent: me.idempotent, Forwarded: len(me.traversed) > 0,
	}
	srv.ref.Send(route.NewArrive(ex, spec))
	for {
		eff := ex.awaitDecision(req.Context())
		switch msg := eff.(type) {
		case route.Dispatch[*exchange]:
			if !ex.send(wri, req, msg, bod) {
				continue
			}
		case route.Forward[*exchange]:
			if !ex.forward(wri, req, msg, bod) {
				// No other data centre accepted the request. It is marked as
				// forwarded, because a data centre that is returning to service
				// accepts every forwarded request and does not forward it again.
				spec.Forwarded = true
				spec.Timeout = max(srv.remaining(msg.Deadline()), time.Millisecond)
				srv.ref.Send(route.NewArrive(ex, spec))
				continue
			}
		case route.Reject[*exchange]:
			ex.settle(once.None)
			srv.replyNotRun(wri, rejectStatus(msg.Reason()), msg.Reason().String(), msg.RetryAfter())
		default:
			srv.metrics.add("cancelledWaiting")
			ex.settle(once.None)
			abortResponse()
		}
		return
	}
}

// awaitDecision returns the next routing decision. If the caller closes its connection
// first, it reports the cancellation to the actor and returns nil.
func (ex *exchange) awaitDecision(ctx context.Context) route.Effect {
	select {
	case eff := <-ex.decisions:
		return eff
	case <-ctx.Done():
		ex.srv.ref.Send(route.NewCancel(ex))
		return nil
	}
}

// rejectStatus returns the HTTP status for a request that was rejected for re.
func rejectStatus(re route.Reason) int {
	if re == route.OverShare {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// replyNotRun answers a request that was certainly not run. reason is in camel case
// and part of the counter's name. after is the value of Retry-After, which is at
// least 1 s and is sent only with status 503 or 429.
func (srv *Server) replyNotRun(wri http.ResponseWriter, status int, reason string, after time.Duration) {
	srv.metrics.add("rejected" + string(reason[0]-'a'+'A') + reason[1:])
	hdr := wri.Header()
	hdr.Set(HeaderOutcome, OutcomeNotRun)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		hdr.Set("Retry-After", strconv.Itoa(max(int(after/time.Second), 1)))
	}
	srv.extendWriteDeadline(wri)
	writeText(wri, status, "request not run: "+reason)
}

// replyUnknown answers a request that may have been run. reason is in camel case
// and part of the counter's name.
func (srv *Server) replyUnknown(wri http.ResponseWriter, status int, reason string) {
	srv.metrics.add("unknown" + string(reason[0]-'a'+'A') + reason[1:])
	wri.Header().Set(HeaderOutcome, OutcomeUnknown)
	srv.extendWriteDeadline(wri)
	writeText(wri, status, "outcome unknown: "+reason)
}

// writeText writes a response with a single line of text.
func writeText(wri http.ResponseWriter, status int, line string) {
	wri.Header().Set("Content-Type", "text/plain; charset=utf-8")
	wri.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	wri.WriteHeader(status)
	_, _ = wri.Write([]byte(line + "\n"))
}

// extendWriteDeadline gives the caller until Limits.StallTimeout from now to read
// what is written next.
func (srv *Server) extendWriteDeadline(wri http.ResponseWriter) {
	_ = http.NewResponseController(wri).SetWriteDeadline(time.Now().Add(srv.cfg.Limits.StallTimeout))
}

// remaining returns the time until at, which is negative after it.
func (srv *Server) remaining(at model.Instant) time.Duration { return at.Sub(srv.cfg.Clock()) }
