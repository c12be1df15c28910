// Package centre holds the state machine that the group of one data centre
// replicates. State combines the tasks and the claims of idempotency keys. Leader
// is not replicated: while its VM leads the group, it decides which tasks start
// where, and proposes the commands that change State.
package centre

import (
	"guavarail/core/once"
	"guavarail/core/quorum"
	"guavarail/core/sched"
)

// Command is one command in the log of a data centre group. It is either a
// command on tasks or a command on an idempotency key.
type Command struct {
	tasks sched.Command
	claim once.Command
	// isClaim reports whether the command is in claim and not in tasks.
	isClaim bool
}

// Tasks returns a command that applies cmd to the tasks.
func Tasks(cmd sched.Command) Command { return Command{tasks: cmd} }

// Claim returns a command that applies cmd to the claims of idempotency keys.
func Claim(cmd once.Command) Command { return Command{claim: cmd, isClaim: true} }

// Tasks returns the command on tasks, or false if it is on an idempotency key.
func (cmd Command) Tasks() (sched.Command, bool) { return cmd.tasks, !cmd.isClaim }

// Claim returns the command on an idempotency key, or false if it is on tasks.
func (cmd Command) Claim() (once.Command, bool) { return cmd.claim, cmd.isClaim }

// Result is the result of a command. Only the part that belongs to the type of
// the command is set.
type Result struct {
	tasks sched.Result
	claim once.Result
}

// Tasks returns the result of a command on tasks.
func (res Result) Tasks() sched.Result { return res.tasks }

// Claim returns the result of a command on an idempotency key.
func (res Result) Claim() once.Result { return res.claim }

// Snapshot is a copy of a State.
type Snapshot struct {
	tasks  sched.Snapshot
	claims once.Snapshot
}

// NewSnapshot returns a snapshot that combines those of the tasks and the claims.
func NewSnapshot(tasks sched.Snapshot, claims once.Snapshot) Snapshot {
	return Snapshot{tasks: tasks, claims: claims}
}

// Tasks returns the snapshot of the tasks.
func (sn Snapshot) Tasks() sched.Snapshot { return sn.tasks }

// Claims returns the snapshot of the claims.
func (sn Snapshot) Claims() once.Snapshot { return sn.claims }

// State is the replicated state of a data centre group. The zero value is empty.
type State struct {
	tasks  sched.State
	claims once.Claims
}

var _ quorum.Replica[Command, Result, Snapshot] = (*State)(nil)

// Apply executes one committed command and returns its result.
func (st *State) Apply(cmd Command) Result {
	if cmd.isClaim {
		return Result{claim: st.claims.Apply(cmd.claim)}
	}
	return Result{tasks: st.tasks.Apply(cmd.tasks)}
}

// Snapshot returns a copy of the state that later commands do not modify.
func (st *State) Snapshot() Snapshot {
	return Snapshot{tasks: st.tasks.Snapshot(), claims: st.claims.Snapshot()}
}

// Restore replaces the state with that of snap.
func (st *State) Restore(snap Snapshot) {
	st.tasks.Restore(snap.tasks)
	st.claims.Restore(snap.claims)
}

// Tasks returns the state of the tasks. The caller must not modify it.
func (st *State) Tasks() *sched.State { return &st.tasks }
