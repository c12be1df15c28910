package cell

import (
	"maps"
	"slices"

	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/core/waves"
)

// Command is one entry of the log. It contains either operations on jobs, or a
// document, or a data centre that goes out of service or returns, or operations on
// maintenance waves.
type Command struct {
	ops      []flow.Op
	document Document
	centre   model.CentreID
	// out is set if centre goes out of service and unset if it returns to
	// service.
	out   bool
	waves []waves.Op
}

// Jobs returns a command that applies operations on jobs, in order.
func Jobs(ops ...flow.Op) Command { return Command{ops: ops} }

// Configure returns a command that stores a configuration document.
func Configure(doc Document) Command { return Command{document: doc} }

// SetCentreOut returns a command that takes a data centre out of service, or
// puts it back if out is false.
func SetCentreOut(centre model.CentreID, out bool) Command { return Command{centre: centre, out: out} }

// Maintain returns a command that applies operations on maintenance waves, in order.
func Maintain(ops ...waves.Op) Command { return Command{waves: ops} }

// Waves returns the operations on maintenance waves.
func (cmd Command) Waves() []waves.Op { return cmd.waves }

// Ops returns the operations on jobs.
func (cmd Command) Ops() []flow.Op { return cmd.ops }

// Document returns the document, and false if the command stores none.
func (cmd Command) Document() (Document, bool) { return cmd.document, cmd.document.Version() > 0 }

// Centre returns the data centre and whether it goes out of service. The data
// centre is empty for other commands.
func (cmd Command) Centre() (model.CentreID, bool) { return cmd.centre, cmd.out }

// Result is the result of applying a command.
type Result struct {
	verdicts []flow.Verdict
	version  uint64
	waves    []waves.Verdict
}

// Waves returns one verdict for each operation on maintenance waves, in order, and nil for
// other commands.
func (res Result) Waves() []waves.Verdict { return res.waves }

// Verdicts returns one verdict for each operation on jobs, in order, and nil for
// other commands.
func (res Result) Verdicts() []flow.Verdict { return res.verdicts }

// Version returns the version of the configuration in effect after the command,
// 0 for none.
func (res Result) Version() uint64 { return res.version }

// Snapshot is a copy of State.
type Snapshot struct {
	document   Document
	outCentres []model.CentreID
	jobs       flow.Snapshot
	waves      []waves.Record
}

// NewSnapshot returns a snapshot. out is the data centres that are out of
// service, ordered by name.
func NewSnapshot(doc Document, out []model.CentreID, jobs flow.Snapshot) Snapshot {
	return Snapshot{document: doc, outCentres: out, jobs: jobs}
}

// WithWaves returns the snapshot with maintenance waves, ordered by number.
func (sn Snapshot) WithWaves(recs []waves.Record) Snapshot {
	sn.waves = recs
	return sn
}

// Waves returns the maintenance waves, ordered by number.
func (sn Snapshot) Waves() []waves.Record { return sn.waves }

// Document returns the configuration in effect.
func (sn Snapshot) Document() Document { return sn.document }

// Out returns the data centres that are out of service, ordered by name.
func (sn Snapshot) Out() []model.CentreID { return sn.outCentres }

// Jobs returns the jobs.
func (sn Snapshot) Jobs() flow.Snapshot { return sn.jobs }

// State is the replicated state of a cell. The zero value is empty.
type State struct {
	document   Document
	outCentres map[model.CentreID]bool
	jobs       flow.State
	waves      waves.State
}

var _ quorum.Replica[Command, Result, Snapshot] = (*State)(nil)

// Apply applies one committed command. The configuration with the highest
// version is in effect; one with a lower or equal version changes nothing.
func (st *State) Apply(cmd Command) Result {
	var res Result
	switch {
	case cmd.document.Version() > 0:
		if cmd.document.Version() > st.document.Version() {
			st.setDocument(cmd.document)
		}
	case cmd.centre != "":
		if st.outCentres == nil {
			st.outCentres = map[model.CentreID]bool{}
		}
		if cmd.out {
			st.outCentres[cmd.centre] = true
		} else {
			delete(st.outCentres, cmd.centre)
		}
	case len(cmd.waves) > 0:
		for _, op := range cmd.waves {
			res.waves = append(res.waves, st.waves.Apply(op))
		}
	default:
		res.verdicts = make([]flow.Verdict, len(cmd.ops))
		for i, op := range cmd.ops {
			res.verdicts[i] = st.jobs.Apply(op)
		}
	}
	res.version = st.document.Version()
	return res
}

// Snapshot returns a copy of the state.
func (st *State) Snapshot() Snapshot {
	return NewSnapshot(st.document, slices.Sorted(maps.Keys(st.outCentres)), st.jobs.Snapshot()).WithWaves(st.waves.Snapshot())
}

// Restore replaces the state with a snapshot.
func (st *State) Restore(snap Snapshot) {
	st.outCentres = map[model.CentreID]bool{}
	for _, cen := range snap.outCentres {
		st.outCentres[cen] = true
	}
	st.jobs.Restore(snap.jobs)
	st.waves.Restore(snap.waves)
	st.setDocument(snap.document)
}

// setDocument puts a configuration in effect.
func (st *State) setDocument(doc Document) {
	st.document = doc
	st.jobs.SetTerms(doc.terms())
	st.jobs.SetServices(doc.servicesByQueue())
}

// Document returns the configuration in effect.
func (st *State) Document() Document { return st.document }

// Services returns the names of the services of the configuration in effect.
func (st *State) Services() map[model.ServiceID]bool {
	names := map[model.ServiceID]bool{}
	for _, ser := range st.document.spec.Services {
		names[ser.name] = true
	}
	return names
}

// Pending returns the number of jobs of a queue that have not started.
func (st *State) Pending(qu Queue) int {
	num := 0
	for _, key := range qu.jobKeys() {
		num += st.jobs.Pending(key)
	}
	return num
}

// Out returns a copy of the set of data centres that are out of service.
func (st *State) Out() map[model.CentreID]bool { return maps.Clone(st.outCentres) }

// Jobs returns the state of the jobs, for reads and for the planner of the
// leader. Only Apply and Restore change its replicated part.
func (st *State) Jobs() *flow.State { return &st.jobs }

// Waves returns the state of the maintenance waves, for reads. Only Apply and Restore change
// it.
func (st *State) Waves() *waves.State { return &st.waves }
