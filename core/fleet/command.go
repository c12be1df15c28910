package fleet

import "guavarail/core/model"

// Action is the content of a command. The types of this package that
// implement it are the only ones.
type Action interface {
	// Kind names the action.
	Kind() Kind
	// Target returns the name of the preset, data centre or VM concerned.
	Target() string
	// apply changes st, or leaves it unchanged and returns why. by is the
	// change that is recorded when the command is accepted.
	apply(st *State, by Change) Reason
}

// Command is one operator command.
type Command struct {
	// id is unique for each command and the same in every resend.
	id model.CommandID
	// number is the configuration number that the command is to take: the
	// one that its operator saw, plus one.
	number   uint64
	operator string
	action   Action
}

// NewCommand returns a command.
func NewCommand(id model.CommandID, number uint64, operator string, act Action) Command {
	return Command{id: id, number: number, operator: operator, action: act}
}

// ID returns the identity of the command.
func (cmd Command) ID() model.CommandID { return cmd.id }

// Number returns the configuration number that the command is to take.
func (cmd Command) Number() uint64 { return cmd.number }

// Operator returns the name of the operator.
func (cmd Command) Operator() string { return cmd.operator }

// Action returns the content; it is nil in the zero command.
func (cmd Command) Action() Action { return cmd.action }

// Kind returns what the command does.
func (cmd Command) Kind() Kind {
	if cmd.action == nil {
		return KindNone
	}
	return cmd.action.Kind()
}

// Target returns the name of the preset, data centre or VM concerned.
func (cmd Command) Target() string {
	if cmd.action == nil {
		return ""
	}
	return cmd.action.Target()
}

// maxIDLength bounds identities and operator names, and with them the memory
// of the answers that are kept.
const maxIDLength = 64

// valid reports whether the command can be recorded at all.
func (cmd Command) valid() bool {
	return cmd.id != "" && len(cmd.id) <= maxIDLength &&
		cmd.operator != "" && len(cmd.operator) <= maxIDLength &&
		cmd.number > 0 && cmd.action != nil && len(cmd.Target()) <= maxIDLength
}
