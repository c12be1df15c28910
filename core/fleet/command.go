package fleet

import "guavarail/core/model"

// Action is the content of a command. Only types of this package implement it.
type Action interface {
	// Kind returns the kind of the command.
	Kind() Kind
	// Target returns the name of the preset, data centre or VM that the command
	// applies to; empty for a Bootstrap.
	Target() string
	// apply changes st and returns Accepted, or leaves st unchanged and returns
	// the reason for the rejection. changedBy is the change to record.
	apply(st *State, changedBy Change) Reason
}

// Command is one command of an operator.
type Command struct {
	// id is unique to the command and the same each time it is resent.
	id model.CommandID
	// number is the configuration number that the command requests: one above the
	// number that its operator saw in effect.
	number   uint64
	operator string
	action   Action
}

// NewCommand returns a command.
func NewCommand(id model.CommandID, number uint64, operator string, act Action) Command {
	return Command{id: id, number: number, operator: operator, action: act}
}

// ID returns the identifier of the command.
func (cmd Command) ID() model.CommandID { return cmd.id }

// Number returns the configuration number that the command requests.
func (cmd Command) Number() uint64 { return cmd.number }

// Operator returns the name of the operator.
func (cmd Command) Operator() string { return cmd.operator }

// Action returns the content; nil for the zero command.
func (cmd Command) Action() Action { return cmd.action }

// Kind returns the kind of the command; KindNone for the zero command.
func (cmd Command) Kind() Kind {
	if cmd.action == nil {
		return KindNone
	}
	return cmd.action.Kind()
}

// Target returns the name of the preset, data centre or VM that the command
// applies to.
func (cmd Command) Target() string {
	if cmd.action == nil {
		return ""
	}
	return cmd.action.Target()
}

// maxIDLength limits identifiers, targets, addresses and operator names, in bytes,
// and with them the memory of the stored answers.
const maxIDLength = 64

// valid reports whether the answer to the command can be stored: identifier, number,
// operator and action are set, and identifier, operator and target are within
// maxIDLength.
func (cmd Command) valid() bool {
	return cmd.id != "" && len(cmd.id) <= maxIDLength &&
		cmd.operator != "" && len(cmd.operator) <= maxIDLength &&
		cmd.number > 0 && cmd.action != nil && len(cmd.Target()) <= maxIDLength
}
