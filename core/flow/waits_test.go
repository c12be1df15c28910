package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// leaderChanges returns a feed that changes the leader at an interval, besides
// what feed does.
func (clu *cluster) leaderChanges(interval time.Duration, feed func()) func() {
	next := clu.now.Add(interval)
	return func() {
		feed()
		if !clu.now.Before(next) {
			next = clu.now.Add(interval)
			clu.changeLeader()
		}
	}
}

// Guards against waiting times that start anew with each leader, so that nothing
// is ever preempted or claimed for a task that waits.
func TestWaitingTimesOutlastTheLeader(t *testing.T) {
	const leads = 1900 * time.Millisecond
	lower := lostTaskCase{"lower priority, change of the leader", 0, func(clu *cluster) func() {
		clu.submitJob("lower", 2, time.Minute, StepSpec{Tasks: 40, Size: model.NewResources(1000, 100, 0)})
		return clu.leaderChanges(leads, func() {})
	}}
	for seed := range uint64(4) {
		checkLostTaskRunsAgain(t, lower, seed)
		checkLargeTaskStarts(t, seed, leads)
	}
}

// checkLargeTaskStarts checks that a task as large as a worker starts beside
// smaller ones while the leader changes.
func checkLargeTaskStarts(t *testing.T, seed uint64, leads time.Duration) {
	const maxWait = 15 * time.Second
	clu := newCluster(t, seed, 4)
	feed := clu.leaderChanges(leads, clu.stream(24, 800*time.Millisecond))
	clu.play(2*time.Second, feed)
	clu.submitJob("waits", 0, time.Second, StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	submitted := clu.now
	for clu.started("waits") == 0 && clu.now.Sub(submitted) < 2*maxWait {
		clu.play(TickInterval, feed)
	}
	if waited := clu.now.Sub(submitted); waited > maxWait {
		t.Errorf("seed %d: the large task waits for %v, want at most %v", seed, waited, maxWait)
	}
}
