package fleet

// Answer is a stored answer as part of a snapshot.
type Answer struct{ ans answer }

// NewAnswer returns an answer; decoders use it. rejected is nil for an
// accepted command.
func NewAnswer(request Change, rejected *RejectedError) Answer {
	return Answer{ans: answer{request: request, rejected: rejected}}
}

// Request returns the command without its content. For an accepted command it is
// the recorded change; for a rejected one its ActivePreset is empty.
func (an Answer) Request() Change { return an.ans.request }

// Rejected returns the rejection, or nil for an accepted command.
func (an Answer) Rejected() *RejectedError { return an.ans.rejected }

// SnapshotSpec lists the parts of a snapshot.
type SnapshotSpec struct {
	// Last is the latest accepted change; zero before the first one.
	Last Change
	// Active is the change that switched to the active preset; zero before the
	// first switch.
	Active Change
	// Presets are all presets but the built-in one.
	Presets []PresetEntry
	Centres []Centre
	VMs     []VM
	// Answers are ordered oldest first.
	Answers []Answer
}

// Snapshot is a copy of the state after one entry of the replicated log.
type Snapshot struct{ spec SnapshotSpec }

// NewSnapshot returns a snapshot; decoders use it. The slices of spec must not
// be changed afterwards.
func NewSnapshot(spec SnapshotSpec) Snapshot { return Snapshot{spec: spec} }

// Spec returns the parts of the snapshot, which must not be changed.
func (sn Snapshot) Spec() SnapshotSpec { return sn.spec }

// Snapshot returns a copy of the state.
func (st *State) Snapshot() Snapshot {
	spec := SnapshotSpec{
		Last:    st.lastChange,
		Active:  st.activeChange,
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

// Restore replaces the state by that of the snapshot, except for the limit on the
// number of stored answers.
func (st *State) Restore(sn Snapshot) {
	*st = State{lastChange: sn.spec.Last, activeChange: sn.spec.Active, maxAnswers: st.maxAnswers}
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
		st.answers.put(an.ans.request.command, an.ans)
	}
}
