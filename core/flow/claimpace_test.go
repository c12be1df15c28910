package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a leader that spends all its time on claims for lost tasks which have no room
// anywhere, so that its proposals and answers are late.
func TestClaimsForLostTasksArePaced(t *testing.T) {
	const played = 2 * time.Second
	har := lostRestarts(t, 150, 60)
	searched, plans := 0, har.pl.plans
	last := har.pl.claimPace
	for end := har.now.Add(played); har.now.Before(end); har.now = har.now.Add(TickInterval) {
		har.pl.dirty = true
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
		if now := har.pl.claimPace; now.madeAt != last.madeAt {
			searched += now.searched
			last = now
		}
	}
	if har.pl.plans-plans < uint64(played/TickInterval) {
		t.Fatalf("%d plans in %v, want one for each tick", har.pl.plans-plans, played)
	}
	most := int(played/claimPausePerWorker) + last.searched
	if searched > most || searched == 0 {
		t.Errorf("%d workers are looked at for claims in %v, want 1 to %d", searched, played, most)
	}
}

// Guards against a lost long-running task that is passed over in the plans between two searches
// for claims.
func TestLostTaskIsNotPassedOverBetweenClaims(t *testing.T) {
	for _, tt := range []lostTaskCase{
		{"short tasks of the same priority", 0, func(clu *cluster) func() { return clu.stream(24, 800*time.Millisecond) }},
		newLongRunning(1000),
	} {
		fill := tt.fill
		tt.fill = func(clu *cluster) func() {
			feed := fill(clu)
			return func() {
				feed()
				// As many workers as make the longest pause.
				clu.pl.claimPace.searched = int(maxClaimPause / claimPausePerWorker)
			}
		}
		for seed := range uint64(8) {
			checkLostTaskRunsAgain(t, tt, seed)
		}
	}
}
