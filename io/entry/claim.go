package entry

import (
	"context"
	"net/http"

	"guavarail/core/once"
)

// claim claims the idempotency key and reports whether the request may be sent.
// If not, it has answered the caller. A forwarded request claims its key again, as
// the owner that the forwarding entry VM claimed it for: the headers of a forwarded
// request are no proof of a claim, because a caller can send them as well.
func (ex *exchange) claim(wri http.ResponseWriter, req *http.Request) bool {
	srv := ex.srv
	if srv.cfg.Claims == nil {
		srv.replyNotRun(wri, http.StatusServiceUnavailable, "claimsUnavailable", 0)
		return false
	}
	owner := orDefault(ex.meta.claimant, srv.claimOwner(ex.number))
	ctx, cancel := context.WithTimeout(req.Context(), srv.cfg.Limits.ClaimTimeout)
	defer cancel()
	res, err := srv.cfg.Claims.Claim(ctx, ex.meta.key, owner, claimMaxRunTime)
	if err != nil {
		// The claim may still be committed, so it is released in the background.
		ex.claimOwner = owner
		ex.settle(once.None)
		srv.cfg.Log.Warn("claiming an idempotency key failed; request rejected as not run", "service", ex.meta.service, "error", err)
		srv.replyNotRun(wri, http.StatusServiceUnavailable, "claimsUnavailable", 0)
		return false
	}
	if !res.Accepted() {
		srv.metrics.add("duplicate")
		wri.Header().Set(HeaderOutcome, keyOutcome(res.State()))
		wri.Header().Set(HeaderKeyState, res.State().String())
		writeText(wri, http.StatusConflict, "not run again: the request with this key is "+res.State().String())
		return false
	}
	ex.claimOwner = owner
	return true
}

// settle records the outcome of a claimed request; without a claim it does
// nothing. It waits only if the request was not run (once.None), so that a caller
// that retries at once finds the key free.
func (ex *exchange) settle(st once.State) {
	if ex.claimOwner == "" {
		return
	}
	srv, key, owner := ex.srv, ex.meta.key, ex.claimOwner
	done := make(chan struct{})
	srv.goroutines.run(srv.goroutines.ctx, func(ctx context.Context) {
		defer close(done)
		ctx, cancel := context.WithTimeout(ctx, srv.cfg.Limits.ClaimTimeout)
		defer cancel()
		if err := srv.cfg.Claims.Settle(ctx, key, owner, st); err != nil {
			srv.metrics.add("unsettledClaims")
			srv.cfg.Log.Warn("settling the claim of an idempotency key failed; its outcome becomes unknown", "service", ex.meta.service, "state", st, "error", err)
		}
	})
	if st == once.None {
		<-done
	}
}
