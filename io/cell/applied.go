package cell

import (
	"strconv"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/flow"
)

// applied passes an applied command to the planner and records two kinds of change as
// events: a data centre that goes out of or into service, and a new configuration. It
// runs on the group's actor.
func (mem *member) applied(_ uint64, cmd cell.Command, res cell.Result) {
	now := mem.vm.clock()
	for i, op := range cmd.Ops() {
		mem.dropped.apply(now, op, res.Verdicts()[i])
		mem.submissions.applied(op)
		if op.Kind() == flow.OpSubmit {
			mem.jobMemory.Applied(op.ID())
		}
		mem.step(now, flow.Applied{Op: op, Verdict: res.Verdicts()[i]})
	}
	mem.wavesApplied(cmd, res)
	if cen, out := cmd.Centre(); cen != "" {
		mem.step(now, flow.Outage{Centres: mem.state.Out()})
		mem.vm.RecordEvent(event.New("centreChanged", event.Subject{Centre: cen}, event.NewField("out", strconv.FormatBool(out))))
	}
	if doc, ok := cmd.Document(); ok {
		mem.vm.setLimits(mem.state.Document().Limits())
		mem.step(now, flow.Services{Names: mem.state.Services()})
		mem.vm.RecordEvent(event.New("configurationApplied", event.Subject{}, event.NewField("version", strconv.FormatUint(doc.Version(), 10)),
			event.NewField("inEffect", strconv.FormatUint(res.Version(), 10)), event.NewField("workspaces", strconv.Itoa(len(doc.Workspaces()))),
			event.NewField("keyed", strconv.FormatBool(doc.Keyed()))))
	}
}
