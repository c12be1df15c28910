package fleet

// Answer is one kept answer in a snapshot.
type Answer struct{ ans answer }

// NewAnswer returns an answer; decoders use it. rejected is nil for an
// accepted command.
func NewAnswer(asked Change, rejected *RejectedError) Answer {
	return Answer{ans: answer{asked: asked, rejected: rejected}}
}

// Asked returns the outline of the command.
func (an Answer) Asked() Change { return an.ans.asked }

// Rejected returns the rejection, or nil.
func (an Answer) Rejected() *RejectedError { return an.ans.rejected }

// SnapshotSpec lists the parts of a snapshot.
type SnapshotSpec struct {
	Last    Change
	Active  Change
	Presets []PresetEntry
	Centres []Centre
	VMs     []VM
	// Answers are in the order in which they were given.
	Answers []Answer
}

// Snapshot is a copy of the state at one position of the log.
type Snapshot struct{ spec SnapshotSpec }

// NewSnapshot returns a snapshot; decoders use it. The slices of spec must not
// be changed afterwards.
func NewSnapshot(spec SnapshotSpec) Snapshot { return Snapshot{spec: spec} }

// Spec returns the parts of the snapshot, which must not be changed.
func (sn Snapshot) Spec() SnapshotSpec { return sn.spec }

// Snapshot returns a copy of the state.
func (st *State) Snapshot() Snapshot {
	spec := SnapshotSpec{
		Last:    st.last,
		Active:  st.active,
		Presets: st.Presets()[1:],
		Centres: st.Centres(),
		VMs:     st.VMs(),
		Answers: make([]Answer, 0, st.answers.len()),
	}
	st.answers.each(func(ans answer) bool {
		spec.Answers = append(spec.Answers, Answer{ans: ans})
		return true
	})
	return Snapshot{spec: spec}
}

// Restore replaces the state.
func (st *State) Restore(sn Snapshot) {
	*st = State{last: sn.spec.Last, active: sn.spec.Active, room: st.room}
	st.init()
	for _, en := range sn.spec.Presets {
		st.presets[en.preset.Name()] = en
	}
	for _, ce := range sn.spec.Centres {
		st.centres[ce.name] = ce
	}
	for _, vm := range sn.spec.VMs {
		st.vms[vm.Name()] = vm
	}
	for _, an := range sn.spec.Answers {
		st.answers.put(an.ans.asked.command, an.ans)
	}
}
