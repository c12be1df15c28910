package fleet

import "guavarail/core/model"

// Kind is the kind of a command. The zero value, KindNone, is that of a command
// without an action.
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

// String returns the name used in the API; an unknown value is "none".
func (ki Kind) String() string {
	if int(ki) < len(kindNames) {
		return kindNames[ki]
	}
	return kindNames[KindNone]
}

// Change is an accepted command without its content. It is the answer to the
// command, and each part of the state (a preset, a data centre, a VM, the active
// preset) records the change that last set it. The zero value stands for no command.
type Change struct {
	command model.CommandID
	// number is the configuration number, from 1.
	number   uint64
	operator string
	kind     Kind
	target   string
	// activePreset is the name of the active preset directly after the change.
	activePreset string
}

// NewChange returns a change of stored state; decoders use it.
func NewChange(command model.CommandID, number uint64, operator string, kind Kind, target, activePreset string) Change {
	return Change{command: command, number: number, operator: operator, kind: kind, target: target, activePreset: activePreset}
}

// Command returns the identifier of the command.
func (ch Change) Command() model.CommandID { return ch.command }

// Number returns the configuration number of the command; 0 only for the zero
// change, which stands for no command.
func (ch Change) Number() uint64 { return ch.number }

// Operator returns the name of the operator.
func (ch Change) Operator() string { return ch.operator }

// Kind returns the kind of the command.
func (ch Change) Kind() Kind { return ch.kind }

// Target returns the name of the preset, data centre or VM that was changed; empty
// for a Bootstrap.
func (ch Change) Target() string { return ch.target }

// ActivePreset returns the name of the active preset directly after the change.
func (ch Change) ActivePreset() string { return ch.activePreset }

// matches reports whether a resent command has the number, operator, kind and
// target of the command of ch. The content, such as that of a preset, is not
// compared: it is not stored, so that answers stay small.
func (ch Change) matches(cmd Command) bool {
	return ch.number == cmd.number && ch.operator == cmd.operator &&
		ch.kind == cmd.Kind() && ch.target == cmd.Target()
}
