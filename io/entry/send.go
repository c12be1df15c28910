package entry

import (
	"context"
	"net/http"
	"time"

	"guavarail/core/once"
	"guavarail/core/route"
)

// send sends the request to the chosen backend server and reports its end to the
// actor. It returns false if no byte was sent, so that another backend server may
// be tried.
func (ex *exchange) send(wri http.ResponseWriter, req *http.Request, dis route.Dispatch[*exchange], bod *body) bool {
	srv := ex.srv
	remaining := srv.remaining(dis.Deadline())
	out := ex.newRequest(req, dis.Backend().Address(), remaining, bod)
	ctx, cancel := context.WithTimeout(srv.goroutines.ctx, srv.remaining(dis.MaxDeadline()))
	srv.goroutines.run(ctx, func(ctx context.Context) {
		ex.roundTrip(ctx, out, func() {
			cancel()
			srv.metrics.add("lateEnds")
			srv.ref.Send(route.NewSlotReleased(ex))
		})
	})
	tim := time.NewTimer(remaining)
	defer tim.Stop()
	for {
		select {
		case rep := <-ex.replies:
			if rep.code != 0 {
				relayInformational(wri, rep)
				continue
			}
			defer cancel()
			return ex.handleReply(wri, req, rep, bod)
		case <-tim.C:
			ex.abandon(wri, bod, route.Expired)
			srv.replyUnknown(wri, http.StatusGatewayTimeout, "deadlineExpired")
			return true
		case <-req.Context().Done():
			ex.abandon(wri, bod, route.Cancelled)
			srv.metrics.add("unknownCancelled")
			abortResponse()
		}
	}
}

// abortResponse panics to end the handler without a response and to close the
// connection. If the handler returned, net/http would send an empty response, which
// a caller that closed only its sending side would take for a complete one.
func abortResponse() { panic(http.ErrAbortHandler) }

// abandon ends the handler's part in the exchange before the response has arrived
// and settles the key as unknown. The goroutine of the round trip then discards the
// late response and releases the slot.
func (ex *exchange) abandon(wri http.ResponseWriter, bod *body, ou route.Outcome) {
	ex.srv.ref.Send(route.NewDone(ex, ou))
	close(ex.abandoned)
	ex.settle(once.Unknown)
	stopReading(wri, bod)
}

// stopReading interrupts a read of the request body that waits for the caller.
// Otherwise net/http would wait for the rest of the body when the handler
// returns.
func stopReading(wri http.ResponseWriter, bod *body) {
	if !bod.reachedEOF() {
		wri.Header().Set("Connection", "close")
		_ = http.NewResponseController(wri).SetReadDeadline(time.Unix(1, 0))
	}
}

// handleReply handles the result of a round trip. It returns false if no byte was
// sent, so that another backend server may be tried.
func (ex *exchange) handleReply(wri http.ResponseWriter, req *http.Request, rep reply, bod *body) bool {
	srv := ex.srv
	switch {
	case rep.err == nil:
		ex.relay(wri, req, rep.resp, bod)
	case !rep.mayHaveWritten && !bod.consumed():
		srv.metrics.add("unsentAttempts")
		srv.ref.Send(route.NewUnsent(ex))
		return false
	case !rep.mayHaveWritten:
		// Bytes of the body were already read and cannot be read again, so no
		// other backend server can be tried.
		srv.ref.Send(route.NewDone(ex, route.NotRun))
		ex.settle(once.None)
		srv.replyNotRun(wri, http.StatusServiceUnavailable, "connectFailed", 0)
	case bod.tooLarge():
		ex.fail(wri, bod, http.StatusRequestEntityTooLarge, "bodyTooLarge", route.Cancelled)
		srv.ref.Send(route.NewSlotReleased(ex))
	default:
		srv.cfg.Log.Debug("request failed after it was sent to a backend server; outcome unknown", "service", ex.meta.service, "error", rep.err)
		ex.fail(wri, bod, http.StatusBadGateway, "connectionEnded", route.Failed)
	}
	return true
}

// fail reports outcome ou to the actor and answers with an unknown outcome, because
// the request was sent.
func (ex *exchange) fail(wri http.ResponseWriter, bod *body, status int, reason string, ou route.Outcome) {
	ex.srv.ref.Send(route.NewDone(ex, ou))
	ex.settle(once.Unknown)
	stopReading(wri, bod)
	ex.srv.replyUnknown(wri, status, reason)
}

// relayInformational passes a 1xx response on to the caller.
func relayInformational(wri http.ResponseWriter, rep reply) {
	hdr := wri.Header()
	for name, vals := range rep.header {
		hdr[name] = vals
	}
	wri.WriteHeader(rep.code)
	for name := range rep.header {
		delete(hdr, name)
	}
}
