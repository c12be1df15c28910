package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against heartbeats that repeat ends, and starts that wait for the next heartbeat,
// because the answer was sent before a slow commit was through: the more of them, the
// slower the commits.
func TestAnswerToAnEndWaitsForASlowCommit(t *testing.T) {
	const commitTime = 240 * time.Millisecond
	har := newHarness(t)
	har.submit("first", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.submit("second", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	har.holding = true
	har.sequence++
	answers := har.step(endOfRun(har.sequence, run))
	for end := har.now.Add(commitTime); har.now.Before(end); {
		har.now = har.now.Add(TickInterval)
		answers = append(answers, har.step(Tick{LeaseUntil: model.Instant(time.Hour)})...)
	}
	if len(answers) > 0 {
		t.Fatalf("answers %+v while the end is not committed", answers)
	}
	held := har.held[0]
	har.holding = false
	for _, op := range held.Ops {
		answers = append(answers, har.step(har.commit(op))...)
	}
	answers = append(answers, har.step(ProposalEnded{Term: held.Term, Applied: true})...)
	if len(answers) != 1 || answers[0].Acknowledged != 1 || len(answers[0].Starts) != 1 {
		t.Errorf("answers %+v, want one that acknowledges the end and carries the next start", answers)
	}
}
