package entry

import (
	"context"
	"net/http"
	"strings"
	"time"

	"guavarail/core/model"
	"guavarail/core/once"
	"guavarail/core/route"
)

// forward sends the request to an entry VM of another data centre. It tries the
// addresses in order until the request was run or may have been run. It returns
// false if no data centre accepted the request and this one may still run it: a
// data centre that is returning to service declines only a share of its requests,
// so it has slots for the request.
func (ex *exchange) forward(wri http.ResponseWriter, req *http.Request, fwd route.Forward[*exchange], bod *body) bool {
	srv := ex.srv
	var addrs []string
	if srv.cfg.Forwarder != nil {
		addrs = srv.cfg.Forwarder.Addresses(append(ex.meta.traversed[:len(ex.meta.traversed):len(ex.meta.traversed)], srv.cfg.Centre))
	}
	ctx, cancel := context.WithTimeout(srv.goroutines.ctx, srv.remaining(fwd.MaxDeadline()))
	defer cancel()
	for i, addr := range addrs {
		rep, ok := ex.sendForward(ctx, wri, req, addr, fwd, bod)
		if !ok {
			return true
		}
		// The rejection of the last address is relayed to the caller, unless this
		// data centre declined the request because it is out of service or returning
		// to it: the request is then tried here after the last address.
		relayRejection := i == len(addrs)-1 && fwd.Reason() != route.OutOfService
		if rep.err == nil && declined(rep.resp) && !relayRejection && !bod.consumed() {
			// The entry VM reported that it did not run the request, for example
			// because it has just started, so the next one may be tried.
			discardBody(rep.resp.Body)
			continue
		}
		if rep.err == nil {
			ex.relayForward(wri, rep.resp, bod)
			return true
		}
		if rep.mayHaveWritten {
			ex.settle(once.Unknown)
			stopReading(wri, bod)
			srv.replyUnknown(wri, http.StatusBadGateway, "forwardEnded")
			return true
		}
		if bod.consumed() {
			break
		}
	}
	if fwd.Reason() == route.OutOfService && !bod.consumed() {
		return false
	}
	ex.settle(once.None)
	srv.replyNotRun(wri, http.StatusServiceUnavailable, fwd.Reason().String(), time.Second)
	return true
}

// declined reports whether the response of an entry VM says that it did not run
// the request.
func declined(resp *http.Response) bool { return resp.Header.Get(HeaderOutcome) == OutcomeNotRun }

// sendForward sends the request to one address and returns the reply. It returns
// false if the deadline expired first, in which case it has answered the caller.
func (ex *exchange) sendForward(
	ctx context.Context, wri http.ResponseWriter, req *http.Request, addr string,
	fwd route.Forward[*exchange], bod *body,
) (reply, bool) {
	srv := ex.srv
	remaining := srv.remaining(fwd.Deadline())
	out := ex.newRequest(req, addr, remaining, bod)
	out.Header[HeaderCentres] = []string{joinCentres(ex.meta.traversed, srv.cfg.Centre)}
	out.Header[HeaderCaller] = []string{ex.meta.caller}
	if ex.claimOwner != "" {
		out.Header[HeaderClaimant] = []string{ex.claimOwner}
	}
	ctx, cancel := context.WithCancel(ctx)
	srv.goroutines.run(ctx, func(ctx context.Context) { ex.roundTrip(ctx, out, cancel) })
	// The other entry VM answers at the deadline; the margin covers the network
	// delay of its answer.
	tim := time.NewTimer(remaining + forwardMargin)
	defer tim.Stop()
	for {
		select {
		case rep := <-ex.replies:
			if rep.code != 0 {
				relayInformational(wri, rep)
				continue
			}
			// ctx stays alive while the response is read; forward cancels its
			// parent after that.
			return rep, true
		case <-tim.C:
			close(ex.abandoned)
			ex.settle(once.Unknown)
			stopReading(wri, bod)
			srv.replyUnknown(wri, http.StatusGatewayTimeout, "deadlineExpired")
		case <-req.Context().Done():
			close(ex.abandoned)
			ex.settle(once.Unknown)
			srv.metrics.add("unknownCancelled")
			cancel()
			abortResponse()
		}
		cancel()
		return reply{}, false
	}
}

// forwardMargin is the time after the deadline for which the response of another
// data centre is still accepted.
const forwardMargin = 100 * time.Millisecond

// relayForward passes on a response with the outcome that the other data centre
// reported.
func (ex *exchange) relayForward(wri http.ResponseWriter, resp *http.Response, bod *body) {
	defer resp.Body.Close()
	outcome, state := resp.Header.Get(HeaderOutcome), once.Unknown
	switch outcome {
	case OutcomeAnswered:
		state = once.Answered
	case OutcomeNotRun:
		state = once.None
	default:
		outcome = OutcomeUnknown
	}
	ex.settle(state)
	ex.srv.metrics.add("forwarded")
	ex.writeHeader(wri, resp, outcome)
	if readErr, writeErr := ex.copyBody(wri, resp); readErr != nil || writeErr != nil {
		ex.srv.metrics.add("truncatedResponses")
		panic(http.ErrAbortHandler)
	}
	for name, vals := range resp.Trailer {
		wri.Header()[http.TrailerPrefix+name] = vals
	}
	stopReading(wri, bod)
}

// joinCentres returns the value of HeaderCentres for a request that came through
// the data centres traversed and that the data centre own forwards.
func joinCentres(traversed []model.CentreID, own model.CentreID) string {
	names := make([]string, 0, len(traversed)+1)
	for _, ce := range traversed {
		names = append(names, string(ce))
	}
	return strings.Join(append(names, string(own)), ",")
}
