package flow

import (
	"slices"
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

// Guards against capacity that stands idle for the time of a second proposal,
// because the start that takes the place of an ended run is decided only after
// the end is applied.
func TestStartIsProposedTogetherWithTheEndBeforeIt(t *testing.T) {
	har := newHarness(t)
	har.submit("first", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	run := har.heartbeat("w1", nil).Starts[0]
	har.submit("second", StepSpec{Tasks: 1, Size: model.NewResources(4000, 100, 0)})
	har.sequence++
	effs := har.pl.Step(har.now, endOfRun(har.sequence, run))
	var kinds []OpKind
	for _, eff := range effs {
		if pro, ok := eff.(Propose); ok {
			for _, op := range pro.Ops {
				kinds = append(kinds, op.kind)
			}
		}
	}
	if want := []OpKind{OpEnd, OpStart}; !slices.Equal(kinds, want) {
		t.Errorf("operations %v are proposed, want %v", kinds, want)
	}
}

// Guards against an answer that is held until its timeout though the ends that it
// acknowledges and the starts that it carries are applied, because another
// proposal is under way.
func TestAnswerToAnEndDoesNotWaitForOtherProposals(t *testing.T) {
	har := newHarness(t)
	har.submit("first", StepSpec{Tasks: 2, Size: model.NewResources(4000, 100, 0)})
	runs := []StartOrder{har.heartbeat("w1", nil).Starts[0], har.heartbeat("w2", nil).Starts[0]}
	har.submit("second", StepSpec{Tasks: 2, Size: model.NewResources(4000, 100, 0)})
	har.sequence = 10
	first := har.pl.Step(har.now, endOfRun(11, runs[0]))
	second := endOfRun(12, runs[1])
	second.Incarnation, second.Address = NewIncarnation("w2", 1), "w2"
	har.pl.Step(har.now, second)
	har.now = har.now.Add(TickInterval)
	for _, eff := range first {
		pro, ok := eff.(Propose)
		if !ok {
			continue
		}
		var out []Effect
		for _, op := range pro.Ops {
			out = append(out, har.pl.Step(har.now, har.commit(op))...)
		}
		out = append(out, har.pl.Step(har.now, ProposalEnded{Term: pro.Term, Applied: true})...)
		if ans := answerTo(out, 11); ans == nil || len(ans.Starts) != 1 || ans.Acknowledged != 1 {
			t.Errorf("answer %+v, want one at once that acknowledges the end and carries a start", ans)
		}
		return
	}
	t.Fatal("the end is not proposed")
}

// endOfRun returns a heartbeat of worker w1 that reports the success of its only
// run.
func endOfRun(sequence uint64, run StartOrder) Heartbeat {
	return Heartbeat{
		HeartbeatID: sequence, Incarnation: NewIncarnation("w1", 1), Sequence: sequence, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0), Ended: []EndReport{{Number: 1, Task: run.Task, Attempt: run.Attempt, Outcome: Succeeded}},
	}
}

// answerTo returns the answer to a heartbeat, or nil if there is none.
func answerTo(effs []Effect, heartbeatID uint64) *Answer {
	for _, eff := range effs {
		if ans, ok := eff.(Answer); ok && ans.HeartbeatID == heartbeatID {
			return &ans
		}
	}
	return nil
}
