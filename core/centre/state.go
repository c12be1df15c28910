// Package centre combines what the group of one data centre decides: its tasks
// and the claims of idempotency keys. State is replicated; Leader is the part
// that only the leader of the group uses.
package centre

import (
	"guavarail/core/once"
	"guavarail/core/quorum"
	"guavarail/core/sched"
)

// Command is one entry of the log of a data centre group. Exactly one of its
// parts is set.
type Command struct {
	tasks  sched.Command
	claim  once.Command
	claims bool
}

// Tasks returns a command on tasks.
func Tasks(cmd sched.Command) Command { return Command{tasks: cmd} }

// Claim returns a command on an idempotency key.
func Claim(cmd once.Command) Command { return Command{claim: cmd, claims: true} }

// Tasks returns the command on tasks and whether it is one.
func (cmd Command) Tasks() (sched.Command, bool) { return cmd.tasks, !cmd.claims }

// Claim returns the command on an idempotency key and whether it is one.
func (cmd Command) Claim() (once.Command, bool) { return cmd.claim, cmd.claims }

// Result is the result of a command, with the part that the command has.
type Result struct {
	tasks sched.Result
	claim once.Result
}

// Tasks returns the result of a command on tasks.
func (res Result) Tasks() sched.Result { return res.tasks }

// Claim returns the result of a command on an idempotency key.
func (res Result) Claim() once.Result { return res.claim }

// Snapshot is a copy of the state.
type Snapshot struct {
	tasks  sched.Snapshot
	claims once.Snapshot
}

// NewSnapshot returns a snapshot of both parts.
func NewSnapshot(tasks sched.Snapshot, claims once.Snapshot) Snapshot {
	return Snapshot{tasks: tasks, claims: claims}
}

// Tasks returns the part with the tasks.
func (sn Snapshot) Tasks() sched.Snapshot { return sn.tasks }

// Claims returns the part with the idempotency keys.
func (sn Snapshot) Claims() once.Snapshot { return sn.claims }

// State is the replicated state of a data centre. The zero value is empty.
type State struct {
	tasks  sched.State
	claims once.Claims
}

var _ quorum.Replica[Command, Result, Snapshot] = (*State)(nil)

// Apply carries out one committed command.
func (st *State) Apply(cmd Command) Result {
	if cmd.claims {
		return Result{claim: st.claims.Apply(cmd.claim)}
	}
	return Result{tasks: st.tasks.Apply(cmd.tasks)}
}

// Snapshot returns a copy of the state.
func (st *State) Snapshot() Snapshot {
	return Snapshot{tasks: st.tasks.Snapshot(), claims: st.claims.Snapshot()}
}

// Restore replaces the state.
func (st *State) Restore(snap Snapshot) {
	st.tasks.Restore(snap.tasks)
	st.claims.Restore(snap.claims)
}

// Tasks returns the part with the tasks, for reads.
func (st *State) Tasks() *sched.State { return &st.tasks }
