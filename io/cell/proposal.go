package cell

import (
	"context"
	"time"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// proposeTimeout bounds the wait until a proposal of the planner is applied.
const proposeTimeout = 5 * time.Second

// proposal is a command that the planner issued in a term.
type proposal struct {
	// ctx ends with the term, so that the proposal of an earlier term does not
	// delay the next one.
	ctx  context.Context
	term uint64
	cmd  cell.Command
}

// runProposals proposes the planner's commands until ctx ends and then closes
// done.
func (mem *member) runProposals(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case pro := <-mem.proposals.receive():
			mem.propose(pro)
		}
	}
}

// propose proposes the operations of one command, waits for their outcome and reports the
// end of the proposal to the planner. The planner continues after an unknown outcome; if
// the command is applied later, its runs are treated like those that an earlier leader
// started.
func (mem *member) propose(pro proposal) {
	ctx, cancel := context.WithTimeout(pro.ctx, proposeTimeout)
	defer cancel()
	start := mem.vm.clock()
	dropped, err := mem.proposeOps(ctx, pro.cmd.Ops())
	commitTime.Add(mem.vm.clock().Sub(start))
	if err != nil {
		mem.vm.log.Warn("proposal of the planner failed or its outcome is unknown", "operations", len(pro.cmd.Ops()), "term", pro.term, "error", err)
	}
	mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) {
		mem.step(now, flow.ProposalEnded{Term: pro.term, Applied: err == nil, Dropped: dropped})
	})
}

// proposeOps proposes operations in one log entry. If the log cannot hold that, it proposes
// each half of them, and so finds the operations that the log cannot hold; it returns these.
func (mem *member) proposeOps(ctx context.Context, ops []flow.Op) ([]flow.Op, error) {
	_, err := mem.ref.Propose(ctx, cell.Jobs(ops...))
	if !isUnstorable(err) {
		return nil, err
	}
	if len(ops) == 1 {
		mem.vm.log.Error("operation of the planner cannot be stored; dropped it", "job", string(ops[0].ID()), "worker", ops[0].Incarnation().String(), "error", err)
		return ops, nil
	}
	first, err := mem.proposeOps(ctx, ops[:len(ops)/2])
	if err != nil {
		return first, err
	}
	second, err := mem.proposeOps(ctx, ops[len(ops)/2:])
	return append(first[:len(first):len(first)], second...), err
}
