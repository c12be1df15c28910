package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against capacity that stands idle until the next heartbeat, because the
// answer to the one that reports the end of a run is sent before the start that
// takes its place is applied.
func TestAnswerToAnEndCarriesTheNextStart(t *testing.T) {
	const commitTime = 40 * time.Millisecond
	har := newHarness(t)
	har.submit("first", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	ans := har.heartbeat("w1", nil)
	har.submit("second", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	run := ans.Starts[0]
	har.heartbeat("w1", []RunReport{{Task: run.Task, Attempt: 1, Percent: 50}})
	har.sequence++
	effs := har.pl.Step(har.now, Heartbeat{
		HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0), Ended: []EndReport{{Number: 1, Task: run.Task, Attempt: 1, Outcome: Succeeded}},
	})
	var answers []Answer
	for len(answers) == 0 && len(effs) > 0 {
		var next []Effect
		for _, eff := range effs {
			switch val := eff.(type) {
			case Answer:
				answers = append(answers, val)
			case Propose:
				har.now = har.now.Add(commitTime)
				for _, op := range val.Ops {
					next = append(next, har.pl.Step(har.now, har.commit(op))...)
				}
				next = append(next, har.pl.Step(har.now, ProposalEnded{Term: val.Term, Applied: true})...)
			}
		}
		effs = next
	}
	if len(answers) != 1 || len(answers[0].Starts) != 1 || answers[0].Acknowledged != 1 {
		t.Errorf("answers %+v, want one that acknowledges the end and carries the start of the second job", answers)
	}
}
