package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against treating the end of a proposal of an earlier term as that of
// the current one. A VM that lost the leadership and regained it would then
// propose the same starts again while its proposal of the new term is in
// progress.
func TestEndOfEarlierTermProposalIsIgnored(t *testing.T) {
	har := newHarness(t)
	har.submit("job", StepSpec{Tasks: 1, Size: model.NewResources(1000, 100, 0)})
	har.pl.Step(har.now, SteppedDown{})
	until := model.Instant(time.Hour)
	har.pl.Step(har.now, BecameLeader{Term: 2, LeaseUntil: until})
	proposals := func(in Input) []Propose {
		var out []Propose
		for _, eff := range har.pl.Step(har.now, in) {
			if pro, ok := eff.(Propose); ok {
				out = append(out, pro)
			}
		}
		return out
	}
	first := proposals(Heartbeat{
		HeartbeatID: 1, Incarnation: NewIncarnation("w1", 1), Sequence: 1, Service: "svc", Centre: "a", Address: "w1", Size: model.NewResources(4000, 4000, 0),
	})
	if len(first) != 1 || first[0].Term != 2 {
		t.Fatalf("proposals %+v, want one of term 2", first)
	}
	if again := proposals(ProposalEnded{Term: 1}); len(again) != 0 {
		t.Errorf("proposals %+v after a proposal of an earlier term ended, want none while one is in progress", again)
	}
	if again := proposals(ProposalEnded{Term: 2}); len(again) != 1 {
		t.Errorf("%d proposals after the proposal of this term ended with an unknown outcome, want the starts proposed again", len(again))
	}
}
