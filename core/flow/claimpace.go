package flow

import (
	"time"

	"guavarail/core/model"
)

const (
	// claimPausePerWorker is the pause after a plan that makes claims, for each worker that
	// it has looked at, so that the search takes a small part of the leader's time.
	claimPausePerWorker = 10 * time.Microsecond
	// A pause of less than minClaimPause is left out. maxClaimPause bounds it, since claims
	// become outdated.
	minClaimPause = 2 * time.Millisecond
	maxClaimPause = 500 * time.Millisecond
)

// claimPace spaces the plans that make claims. The plans between them carry the claims on.
// The zero value permits claims.
type claimPace struct {
	// searched counts the workers that were looked at for the claims made at madeAt.
	searched int
	madeAt   model.Instant
	// open is set if the current plan makes claims.
	open bool
}

// begin begins a plan and decides whether it makes claims.
func (cp *claimPace) begin(now model.Instant) {
	cp.open = now.Sub(cp.madeAt) >= cp.pause()
	if cp.open {
		cp.searched, cp.madeAt = 0, now
	}
}

// pause returns the pause after the last claims.
func (cp *claimPace) pause() time.Duration {
	pause := min(maxClaimPause, time.Duration(cp.searched)*claimPausePerWorker)
	if pause < minClaimPause {
		return 0
	}
	return pause
}
