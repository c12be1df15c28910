package entry

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
	"guavarail/core/route"
)

// claimBound is how long a claim counts as running when its entry VM does not
// settle it. No preset allows a longer request.
const claimBound = 10 * time.Minute

// handle serves one request of a caller on its own goroutine.
func (srv *Server) handle(wri http.ResponseWriter, req *http.Request) {
	markServed(req)
	me := parseMeta(req)
	srv.allowWrites(wri)
	if !srv.Ready() {
		wri.Header().Set("Connection", "close")
	}
	if status, reason := srv.check(me, req); status != 0 {
		srv.notRun(wri, status, reason, 0)
		return
	}
	ex := &exchange{
		srv: srv, meta: me, number: srv.tasks.number.Add(1),
		verdicts: make(chan route.Effect, 2), replies: make(chan reply), gone: make(chan struct{}),
	}
	if me.key != "" && !ex.claim(wri, req) {
		return
	}
	ex.run(wri, req)
}

// check returns the status and the reason for a request that cannot be run.
func (srv *Server) check(me meta, req *http.Request) (int, string) {
	switch {
	case me.service == "":
		return http.StatusNotFound, "noService"
	case me.fault != "":
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

// run asks for a slot and sends the request, again after each attempt of
// which no byte was sent.
func (ex *exchange) run(wri http.ResponseWriter, req *http.Request) {
	srv, me := ex.srv, ex.meta
	bod := newBody(req, srv.cfg.Limits.BodyBytes)
	spec := route.RequestSpec{
		Service: me.service, Caller: me.caller, Timeout: me.timeout,
		Idempotent: me.idempotent, Forwarded: len(me.traversed) > 0,
	}
	srv.ref.Send(route.NewArrive(ex, spec))
	for {
		eff := ex.await(req.Context())
		switch msg := eff.(type) {
		case route.Dispatch[*exchange]:
			if !ex.send(wri, req, msg, bod) {
				continue
			}
		case route.Forward[*exchange]:
			if !ex.forward(wri, req, msg, bod) {
				// Nobody else takes it: it counts as a forwarded one here, which
				// a data centre that returns to service does not send away.
				spec.Forwarded = true
				spec.Timeout = max(srv.remaining(msg.Deadline()), time.Millisecond)
				srv.ref.Send(route.NewArrive(ex, spec))
				continue
			}
		case route.Reject[*exchange]:
			ex.settle(once.None)
			srv.notRun(wri, rejectStatus(msg.Reason()), msg.Reason().String(), msg.RetryAfter())
		default:
			srv.metrics.add("cancelledWaiting")
			ex.settle(once.None)
			leave()
		}
		return
	}
}

// await returns the next verdict, or nothing when the caller went away.
func (ex *exchange) await(ctx context.Context) route.Effect {
	select {
	case eff := <-ex.verdicts:
		return eff
	case <-ctx.Done():
		ex.srv.ref.Send(route.NewCancel(ex))
		return nil
	}
}

func rejectStatus(re route.Reason) int {
	if re == route.OverShare {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// notRun answers a request of which no byte was sent.
func (srv *Server) notRun(wri http.ResponseWriter, status int, reason string, after time.Duration) {
	srv.metrics.add("rejected" + string(reason[0]-'a'+'A') + reason[1:])
	hdr := wri.Header()
	hdr.Set(HeaderOutcome, OutcomeNotRun)
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		hdr.Set("Retry-After", strconv.Itoa(max(int(after/time.Second), 1)))
	}
	srv.allowWrites(wri)
	text(wri, status, "request not run: "+reason)
}

// unknown answers a request that may have run.
func (srv *Server) unknown(wri http.ResponseWriter, status int, reason string) {
	srv.metrics.add("unknown" + string(reason[0]-'a'+'A') + reason[1:])
	wri.Header().Set(HeaderOutcome, OutcomeUnknown)
	srv.allowWrites(wri)
	text(wri, status, "outcome unknown: "+reason)
}

func text(wri http.ResponseWriter, status int, line string) {
	wri.Header().Set("Content-Type", "text/plain; charset=utf-8")
	wri.Header().Set("Content-Length", strconv.Itoa(len(line)+1))
	wri.WriteHeader(status)
	_, _ = wri.Write([]byte(line + "\n"))
}

// allowWrites bounds the time in which the caller takes what is written next.
func (srv *Server) allowWrites(wri http.ResponseWriter) {
	_ = http.NewResponseController(wri).SetWriteDeadline(time.Now().Add(srv.cfg.Limits.StallTimeout))
}

// remaining returns the time until an instant of the local clock.
func (srv *Server) remaining(at model.Instant) time.Duration { return at.Sub(srv.cfg.Clock()) }
