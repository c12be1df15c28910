package entry

import (
	"context"
	"net/http"
	"time"

	"guavarail/core/once"
	"guavarail/core/route"
)

// send sends the request to the chosen backend server and reports the end. It
// returns false when no byte was sent and another server may be tried.
func (ex *exchange) send(wri http.ResponseWriter, req *http.Request, dis route.Dispatch[*exchange], bod *body) bool {
	srv := ex.srv
	left := srv.remaining(dis.Deadline())
	out := ex.request(req, dis.Backend().Address(), left, bod)
	ctx, cancel := context.WithTimeout(srv.tasks.ctx, srv.remaining(dis.MaxDeadline()))
	srv.tasks.run(ctx, func(ctx context.Context) {
		ex.roundTrip(ctx, out, func() {
			cancel()
			srv.metrics.add("lateEnds")
			srv.ref.Send(route.NewSlotReleased(ex))
		})
	})
	tim := time.NewTimer(left)
	defer tim.Stop()
	for {
		select {
		case rep := <-ex.replies:
			if rep.code != 0 {
				informational(wri, rep)
				continue
			}
			defer cancel()
			return ex.finish(wri, req, rep, bod)
		case <-tim.C:
			ex.abandon(wri, bod, route.Expired)
			srv.unknown(wri, http.StatusGatewayTimeout, "deadlineExpired")
			return true
		case <-req.Context().Done():
			ex.abandon(wri, bod, route.Cancelled)
			srv.metrics.add("unknownCancelled")
			leave()
		}
	}
}

// leave ends the handler without a response. A caller that only closed its
// sending side would take the empty response of a plain return for complete.
func leave() { panic(http.ErrAbortHandler) }

// abandon leaves the response to the goroutine of the round trip, which reports the end of the
// slot.
func (ex *exchange) abandon(wri http.ResponseWriter, bod *body, ou route.Outcome) {
	ex.srv.ref.Send(route.NewDone(ex, ou))
	close(ex.gone)
	ex.settle(once.Unknown)
	stopReading(wri, bod)
}

// stopReading ends a read of the request body that is still waiting for the
// caller; net/http would wait for it when the handler returns.
func stopReading(wri http.ResponseWriter, bod *body) {
	if !bod.finished() {
		wri.Header().Set("Connection", "close")
		_ = http.NewResponseController(wri).SetReadDeadline(time.Unix(1, 0))
	}
}

// finish handles the result of a round trip.
func (ex *exchange) finish(wri http.ResponseWriter, req *http.Request, rep reply, bod *body) bool {
	srv := ex.srv
	switch {
	case rep.err == nil:
		ex.relay(wri, req, rep.resp, bod)
	case !rep.wrote && !bod.touched():
		srv.metrics.add("unsentAttempts")
		srv.ref.Send(route.NewUnsent(ex))
		return false
	case !rep.wrote:
		// Bytes of the body are gone, so no other server can be tried.
		srv.ref.Send(route.NewDone(ex, route.NotRun))
		ex.settle(once.None)
		srv.notRun(wri, http.StatusServiceUnavailable, "connectFailed", 0)
	case bod.tooLarge():
		ex.fail(wri, bod, http.StatusRequestEntityTooLarge, "bodyTooLarge", route.Cancelled)
		srv.ref.Send(route.NewSlotReleased(ex))
	default:
		srv.cfg.Log.Debug("backend connection failed", "service", ex.meta.service, "error", rep.err)
		ex.fail(wri, bod, http.StatusBadGateway, "connectionEnded", route.Failed)
	}
	return true
}

func (ex *exchange) fail(wri http.ResponseWriter, bod *body, status int, reason string, ou route.Outcome) {
	ex.srv.ref.Send(route.NewDone(ex, ou))
	ex.settle(once.Unknown)
	stopReading(wri, bod)
	ex.srv.unknown(wri, status, reason)
}

// informational passes a 1xx response on.
func informational(wri http.ResponseWriter, rep reply) {
	hdr := wri.Header()
	for name, vals := range rep.header {
		hdr[name] = vals
	}
	wri.WriteHeader(rep.code)
	for name := range rep.header {
		delete(hdr, name)
	}
}
