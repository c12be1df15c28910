package fleet

import (
	"guavarail/core/model"
	"guavarail/core/quorum"
)

var _ quorum.Replica[Command, Result, Snapshot] = (*State)(nil)

// Apply executes one command. A resent command whose answer is stored gets the same
// answer and changes nothing.
func (st *State) Apply(cmd Command) Result {
	st.init()
	if !cmd.valid() {
		// The answer is not stored: the identifier may be missing or too long.
		return Result{rejected: st.reject(cmd, Invalid, Change{})}
	}
	if ans, ok := st.previousAnswer(cmd.id); ok {
		if ans.request.matches(cmd) {
			return ans.result()
		}
		return Result{rejected: st.reject(cmd, IdentityReused, Change{})}
	}
	ans := st.execute(cmd)
	st.answers.put(cmd.id, ans)
	return ans.result()
}

// execute applies a command whose identifier has no stored answer.
func (st *State) execute(cmd Command) answer {
	req := Change{command: cmd.id, number: cmd.number, operator: cmd.operator, kind: cmd.Kind(), target: cmd.Target()}
	rea, holder := st.checkNumber(cmd.number)
	if rea == Accepted {
		rea = cmd.action.apply(st, st.withActivePreset(req))
	}
	if rea != Accepted {
		return answer{request: req, rejected: st.reject(cmd, rea, holder)}
	}
	st.lastChange = st.withActivePreset(req)
	return answer{request: st.lastChange}
}

// withActivePreset returns ch with the name of the preset that is active once ch
// is applied.
func (st *State) withActivePreset(ch Change) Change {
	ch.activePreset = st.ActivePresetName()
	if ch.kind == KindSwitchPreset {
		ch.activePreset = ch.target
	}
	return ch
}

// checkNumber returns Accepted if number is the next configuration number, or
// else the reason for the rejection. For NumberTaken it also returns the holder:
// the accepted change that has the number.
func (st *State) checkNumber(number uint64) (Reason, Change) {
	switch {
	case number == st.lastChange.number+1:
		return Accepted, Change{}
	case number > st.lastChange.number:
		return NumberAhead, Change{}
	}
	if holder, ok := st.findChange(func(ch Change) bool { return ch.number == number }); ok {
		return NumberTaken, holder
	}
	return AnswerExpired, Change{}
}

// reject returns a rejection of cmd; holder is the zero change unless rea is
// NumberTaken.
func (st *State) reject(cmd Command, rea Reason, holder Change) *RejectedError {
	return &RejectedError{command: cmd.id, reason: rea, holder: holder, number: st.lastChange.number, activePreset: st.ActivePresetName()}
}

// previousAnswer returns the stored answer to a command that was executed before, and
// false if there is none. After the answer of an accepted command was dropped, it is
// still returned as long as a part of the state records the change that last set it.
func (st *State) previousAnswer(id model.CommandID) (answer, bool) {
	if ans, ok := st.answers.get(id); ok {
		return ans, true
	}
	ch, ok := st.findCurrentChange(func(ch Change) bool { return ch.command == id })
	return answer{request: ch}, ok
}

// findChange returns the accepted change for which match is true, from the
// stored answers and the changes recorded in the state, and false if there is none.
func (st *State) findChange(match func(ch Change) bool) (Change, bool) {
	var found Change
	st.answers.each(func(ans answer) bool {
		if ans.rejected == nil && match(ans.request) {
			found = ans.request
		}
		return found.number == 0
	})
	if found.number > 0 {
		return found, true
	}
	return st.findCurrentChange(match)
}

// findCurrentChange returns the change for which match is true among those that
// last set a part of the state, and false if there is none.
func (st *State) findCurrentChange(match func(ch Change) bool) (Change, bool) {
	test := func(ch Change) bool { return ch.number > 0 && match(ch) }
	if test(st.lastChange) {
		return st.lastChange, true
	}
	if test(st.activeChange) {
		return st.activeChange, true
	}
	for _, en := range st.presets {
		if test(en.changedBy) {
			return en.changedBy, true
		}
	}
	for _, ce := range st.centres {
		if test(ce.changedBy) {
			return ce.changedBy, true
		}
	}
	for _, vm := range st.vms {
		if test(vm.changedBy) {
			return vm.changedBy, true
		}
	}
	return Change{}, false
}
