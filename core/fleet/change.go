package fleet

import "guavarail/core/model"

// Kind names what a command does.
type Kind uint8

// The kinds of commands.
const (
	KindNone Kind = iota
	KindBootstrap
	KindCreatePreset
	KindSwitchPreset
	KindCentreOut
	KindCentreIn
	KindAddLearner
	KindPromote
	KindRemoveVM
	KindReplaceVM
)

var kindNames = [...]string{
	"none", "bootstrap", "createPreset", "switchPreset", "centreOut", "centreIn",
	"addLearner", "promote", "removeVM", "replaceVM",
}

// String returns the name used in the API.
func (ki Kind) String() string {
	if int(ki) < len(kindNames) {
		return kindNames[ki]
	}
	return kindNames[KindNone]
}

// Change is an accepted command without its content. It is the answer to that
// command, and each part of the state names the change that it comes from.
type Change struct {
	command  model.CommandID
	number   uint64
	operator string
	kind     Kind
	target   string
	// active is the preset in effect directly after the change.
	active string
}

// NewChange returns a change; decoders use it.
func NewChange(command model.CommandID, number uint64, operator string, kind Kind, target, active string) Change {
	return Change{command: command, number: number, operator: operator, kind: kind, target: target, active: active}
}

// Command returns the identity of the command.
func (ch Change) Command() model.CommandID { return ch.command }

// Number returns the configuration number that the command holds; 0 means that
// no command is known.
func (ch Change) Number() uint64 { return ch.number }

// Operator returns the name of the operator.
func (ch Change) Operator() string { return ch.operator }

// Kind returns what the command did.
func (ch Change) Kind() Kind { return ch.kind }

// Target returns the name of the preset, data centre or VM that was changed.
func (ch Change) Target() string { return ch.target }

// Active returns the name of the preset in effect directly after the change.
func (ch Change) Active() string { return ch.active }

// sameRequest reports whether a command that is sent again has the outline of
// the one that led to ch. The content of presets is left out, so that an
// answer stays small.
func (ch Change) sameRequest(cmd Command) bool {
	return ch.number == cmd.number && ch.operator == cmd.operator &&
		ch.kind == cmd.Kind() && ch.target == cmd.Target()
}
