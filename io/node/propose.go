package node

import (
	"context"

	"guavarail/core/centre"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/sched"
	"guavarail/io/admin"
	"guavarail/io/group"
	"guavarail/io/limit"
)

// Propose commits one operation on the tasks of the data centre and returns its
// verdict, which says whether the operation was accepted.
func (cen *centreReplica) Propose(ctx context.Context, op sched.Op) (sched.Verdict, error) {
	end, err := cen.takeMemory(ctx, op)
	if err != nil {
		return 0, cen.hideRemoteLeader(err)
	}
	res, err := cen.ref.Propose(ctx, centre.Tasks(sched.NewCommand(op)))
	end(err == nil)
	if err != nil {
		return 0, cen.hideRemoteLeader(err)
	}
	return res.Tasks().Verdict(0), nil
}

// takeMemory takes the memory of the job that an operation submits, until the returned
// function is called, which learns whether the outcome of the proposal is known. The error
// is an *admin.JobMemoryError if there is none.
func (cen *centreReplica) takeMemory(ctx context.Context, op sched.Op) (func(certain bool), error) {
	if op.Kind() != sched.OpSubmit {
		return func(bool) {}, nil
	}
	jo := op.Job()
	known, err := group.Read(ctx, cen.ref, func(_ model.Instant, _ quorum.Role, sta *centre.State) bool {
		cen.jobMemory.SetState(sta.Tasks().Bytes())
		return sta.Tasks().Knows(jo)
	})
	switch {
	case err != nil:
		return func(bool) {}, err
	case !cen.jobMemory.Begin(jo.ID(), jo.Bytes(), known):
		cen.nod.budget.Count(limit.RefusedJob)
		return func(bool) {}, &admin.JobMemoryError{}
	}
	return func(certain bool) { cen.jobMemory.End(jo.ID(), jo.Bytes(), certain) }, nil
}

// submissionsApplied tells jobMemory which submissions were applied.
func (cen *centreReplica) submissionsApplied(cmd centre.Command) {
	tasks, ok := cmd.Tasks()
	if !ok {
		return
	}
	for pos := range tasks.Len() {
		if op := tasks.Op(pos); op.Kind() == sched.OpSubmit {
			cen.jobMemory.Applied(op.Job().ID())
		}
	}
}
