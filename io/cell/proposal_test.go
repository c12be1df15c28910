package cell

import (
	"context"
	"slices"
	"strings"
	"testing"
	"time"

	"guavarail/core/cell"
	"guavarail/core/flow"
	"guavarail/io/disk"
)

// Guards against an operation that cannot be stored, or too many for one entry of the log,
// which fail a whole proposal with all other operations in it.
func TestProposalIsStoredButForOddOperations(t *testing.T) {
	vm := startCell(t, disk.OS{})
	lea, _ := vm.AsLeader()
	configure(t, lea, 1)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	const tasks = 100
	jo, err := flow.NewJob(flow.JobSpec{ID: "job", Steps: []flow.StepSpec{{Tasks: tasks, Checkpoints: true}}})
	if err != nil {
		t.Fatal(err)
	}
	ops := []flow.Op{flow.Submit(jo)}
	for num := range tasks {
		task := flow.NewTaskID("job", 0, 0, num)
		ops = append(ops, flow.Start(task, 1, flow.NewIncarnation("w", 1)), flow.End(task, 1, flow.Failed, strings.Repeat("x", 100<<10)))
	}
	odd := flow.Start(flow.NewTaskID("job", 0, 0, 0), 2, flow.NewIncarnation("\xff", 1))
	ops = slices.Insert(ops, len(ops)/3, odd)
	dropped, err := vm.member.Load().proposeOps(ctx, ops)
	if err != nil || len(dropped) != 1 || dropped[0].Incarnation() != odd.Incarnation() {
		t.Errorf("dropped %+v, %v; want the odd start", dropped, err)
	}
	ended, err := View(ctx, lea, func(sta *cell.State) int {
		num := 0
		for _, rec := range sta.Jobs().Snapshot().Jobs()[0].Tasks {
			num += rec.Failures
		}
		return num
	})
	if err != nil || ended != tasks {
		t.Errorf("%d tasks have ended, %v; want %d", ended, err, tasks)
	}
}
