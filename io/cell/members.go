package cell

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/quorum"
)

// changeOutcome is a membership change with its outcome, in the words of its event.
type changeOutcome struct {
	change quorum.Change
	text   string
}

// bootstrapMembers returns the member list with which this VM starts on an empty
// disk. Only the seeds of a cell that starts for the first time are voters. Any
// other VM with an empty disk waits as a learner until the leader adds it: it may
// have lost its votes together with the content of its disk.
func (vm *VM) bootstrapMembers() (voters, learners []model.VMID) {
	seeds := *vm.seeds.Load()
	if vm.settings.Bootstrap() && slices.Contains(seeds, vm.self) {
		return seeds, nil
	}
	return []model.VMID{unknownVoter}, []model.VMID{vm.self}
}

// maintainMembers publishes the current members. While this VM leads, it also makes
// the next membership change that cell.Repair chooses, if any.
func (mem *member) maintainMembers(ctx context.Context) {
	mems, err := mem.publishMembers(ctx)
	if err != nil || !mem.status.Load().leading {
		return
	}
	chosen := make(chan quorum.Change, 1)
	mem.ref.Do(func(now model.Instant, rol quorum.Role, _ *cell.State) {
		defer close(chosen)
		if !rol.Leading() || !mem.repairing {
			return
		}
		if chg, ok := mem.repair.Next(now, mem.vm.self, mems); ok {
			chosen <- chg
		}
	})
	select {
	case <-ctx.Done():
	case chg, ok := <-chosen:
		if ok {
			mem.changeMember(ctx, chg)
		}
	}
}

// publishMembers makes the current members readable from other goroutines and
// returns them.
func (mem *member) publishMembers(ctx context.Context) (quorum.Members, error) {
	mems, err := mem.ref.Members(ctx)
	if err != nil {
		return mems, errors.Trace(err)
	}
	mem.members.Store(&mems)
	voters.Set(int64(mems.Voters()))
	commitCopies.Set(int64(mems.CommitCopies(mem.vm.settings.MinCopies())))
	return mems, nil
}

// changeMember makes one membership change and records its outcome, which is "done"
// or the error text, as an event. A failure that repeats is recorded once.
func (mem *member) changeMember(ctx context.Context, chg quorum.Change) {
	changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	err := mem.ref.ChangeMembers(changeCtx, chg)
	out := changeOutcome{change: chg, text: "done"}
	if err != nil {
		out.text = err.Error()
		mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) { mem.repair.Failed(now, chg) })
	}
	if err != nil && out == mem.lastOutcome {
		return
	}
	mem.lastOutcome = out
	mems, err := mem.publishMembers(ctx)
	if err != nil {
		return
	}
	mem.ref.Do(func(now model.Instant, _ quorum.Role, _ *cell.State) {
		spread := mem.repair.VotersByCentre(now, mem.vm.self, mems)
		mem.vm.RecordEvent(event.New("memberChange", event.Subject{VM: chg.VM()},
			event.NewField("change", changeNames[chg.Kind()]), event.NewField("outcome", out.text),
			event.NewField("voters", strconv.Itoa(mems.Voters())),
			event.NewField("commitCopies", strconv.Itoa(mems.CommitCopies(mem.vm.settings.MinCopies()))),
			event.NewField("votersByCentre", formatSpread(spread))))
	})
}

// formatSpread returns the number of voters of each data centre in the form that
// events use, such as "riga-a=2,riga-b=1".
func formatSpread(spread map[model.CentreID]int) string {
	var out []string
	for _, cen := range slices.Sorted(maps.Keys(spread)) {
		out = append(out, string(cen)+"="+strconv.Itoa(spread[cen]))
	}
	return strings.Join(out, ",")
}

// changeNames are the names of membership changes in events.
var changeNames = [...]string{quorum.AddLearner: "addLearner", quorum.Promote: "promote", quorum.Remove: "remove"}
