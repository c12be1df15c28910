package fleet

import (
	"guavarail/core/model"
	"guavarail/core/quorum"
)

var _ quorum.Replica[Command, Result, Snapshot] = (*State)(nil)

// Apply carries out one command. A command that was answered before gets the
// same answer and changes nothing.
func (st *State) Apply(cmd Command) Result {
	st.init()
	if !cmd.valid() {
		// Not kept: its identity may be missing or too long.
		return Result{rejected: st.reject(cmd, Invalid, Change{})}
	}
	if ans, ok := st.answered(cmd.id); ok {
		if ans.asked.sameRequest(cmd) {
			return ans.result()
		}
		return Result{rejected: st.reject(cmd, IdentityReused, Change{})}
	}
	ans := st.carryOut(cmd)
	st.answers.put(cmd.id, ans)
	return ans.result()
}

func (st *State) carryOut(cmd Command) answer {
	by := Change{command: cmd.id, number: cmd.number, operator: cmd.operator, kind: cmd.Kind(), target: cmd.Target()}
	rea, holder := st.checkNumber(cmd.number)
	if rea == Accepted {
		rea = cmd.action.apply(st, st.withActive(by))
	}
	if rea != Accepted {
		return answer{asked: by, rejected: st.reject(cmd, rea, holder)}
	}
	st.last = st.withActive(by)
	return answer{asked: st.last}
}

// withActive returns ch with the name of the preset that is active after it.
func (st *State) withActive(ch Change) Change {
	ch.active = st.ActiveName()
	if ch.kind == KindSwitchPreset {
		ch.active = ch.target
	}
	return ch
}

// checkNumber returns why a number cannot be taken and the change that holds
// it, if that is still known.
func (st *State) checkNumber(number uint64) (Reason, Change) {
	switch {
	case number == st.last.number+1:
		return Accepted, Change{}
	case number > st.last.number:
		return NumberAhead, Change{}
	}
	if holder, ok := st.find(func(ch Change) bool { return ch.number == number }); ok {
		return NumberTaken, holder
	}
	return AnswerExpired, Change{}
}

func (st *State) reject(cmd Command, rea Reason, holder Change) *RejectedError {
	return &RejectedError{command: cmd.id, reason: rea, holder: holder, number: st.last.number, active: st.ActiveName()}
}

// answered returns the answer to a command carried out before. The winner of
// each number in effect is found in the state itself, however long ago that
// was.
func (st *State) answered(id model.CommandID) (answer, bool) {
	if ans, ok := st.answers.get(id); ok {
		return ans, true
	}
	ch, ok := st.findInEffect(func(ch Change) bool { return ch.command == id })
	return answer{asked: ch}, ok
}

// find returns the accepted change that match selects, if it is still known.
func (st *State) find(match func(ch Change) bool) (Change, bool) {
	var found Change
	st.answers.each(func(ans answer) bool {
		if ans.rejected == nil && match(ans.asked) {
			found = ans.asked
		}
		return found.number == 0
	})
	if found.number > 0 {
		return found, true
	}
	return st.findInEffect(match)
}

// findInEffect returns the change that match selects among those that a part
// of the state comes from.
func (st *State) findInEffect(match func(ch Change) bool) (Change, bool) {
	test := func(ch Change) bool { return ch.number > 0 && match(ch) }
	if test(st.last) {
		return st.last, true
	}
	if test(st.active) {
		return st.active, true
	}
	for _, en := range st.presets {
		if test(en.by) {
			return en.by, true
		}
	}
	for _, ce := range st.centres {
		if test(ce.by) {
			return ce.by, true
		}
	}
	for _, vm := range st.vms {
		if test(vm.by) {
			return vm.by, true
		}
	}
	return Change{}, false
}
