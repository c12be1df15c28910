package fleet

import (
	"strconv"

	"guavarail/core/model"
)

// Reason is the reason for the rejection of a command. The zero value, Accepted,
// means that it was not rejected.
type Reason uint8

// The reasons.
const (
	Accepted Reason = iota
	// NumberTaken: an accepted command already has the configuration number.
	NumberTaken
	// NumberAhead: the number is more than one above the current configuration
	// number.
	NumberAhead
	// AnswerExpired: the number was taken by a command whose answer is no
	// longer stored. That may be this very command, sent earlier.
	AnswerExpired
	// IdentityReused: an earlier command has the same identifier but another
	// number, operator, kind or target.
	IdentityReused
	// Invalid: a part of the command is missing or out of range.
	Invalid
	// PresetExists: the preset exists and the command does not replace it, or it
	// is the built-in preset.
	PresetExists
	// PresetActive: the preset to replace is the active one.
	PresetActive
	UnknownPreset
	// UnknownCentre: the state has no entry for the data centre, since it has no VM
	// and is not out of service.
	UnknownCentre
	// LastCentre: no other data centre is in service.
	LastCentre
	VMExists
	UnknownVM
	// NotLearner: the VM to promote is a voter already.
	NotLearner
	// NoDisk: the VM to promote has no disk.
	NoDisk
	// DiskChanged: the disk identifier recorded for the VM differs from the one
	// in the command.
	DiskChanged
	// LastVoter: the VM is the only voter.
	LastVoter
	// TooMany: a limit on the size of the state is reached.
	TooMany
	// AlreadyFounded: a Bootstrap that is not the first accepted command.
	AlreadyFounded
)

// reasons holds the API name of each reason and the advice to the operator.
var reasons = [...]struct{ name, advice string }{
	Accepted:       {"accepted", ""},
	NumberTaken:    {"numberTaken", "look at the configuration in effect and send a new command with the next number"},
	NumberAhead:    {"numberAhead", "use the number after the one in effect"},
	AnswerExpired:  {"answerExpired", "look at the configuration in effect; an earlier send of this command may have been accepted"},
	IdentityReused: {"identityReused", "use a new command identity for each command"},
	Invalid:        {"invalid", "give an identity, a number from 1, an operator and complete content"},
	PresetExists:   {"presetExists", "choose another name, or replace the preset explicitly"},
	PresetActive:   {"presetActive", "switch to another preset first, or create one with another name"},
	UnknownPreset:  {"unknownPreset", "list the presets, or create it first"},
	UnknownCentre:  {"unknownCentre", "list the data centres"},
	LastCentre:     {"lastCentre", "bring another data centre back first, or force the command"},
	VMExists:       {"vmExists", "replace the VM instead of adding it"},
	UnknownVM:      {"unknownVM", "list the VMs"},
	NotLearner:     {"notLearner", "list the VMs; only a learner can be promoted"},
	NoDisk:         {"noDisk", "only a VM with a disk can vote"},
	DiskChanged:    {"diskChanged", "replace the VM, so that it is added as a learner"},
	LastVoter:      {"lastVoter", "promote another VM first"},
	TooMany:        {"tooMany", "replace an unused preset, or remove an unused VM"},
	AlreadyFounded: {"alreadyFounded", "no action is needed"},
}

// String returns the name used in the API; an unknown value has that of Invalid.
func (re Reason) String() string {
	if int(re) < len(reasons) {
		return reasons[re].name
	}
	return reasons[Invalid].name
}

// Advice returns what the operator can do about the rejection.
func (re Reason) Advice() string {
	if int(re) < len(reasons) {
		return reasons[re].advice
	}
	return reasons[Invalid].advice
}

// RejectedError is the rejection of a command.
type RejectedError struct {
	command model.CommandID
	reason  Reason
	// holder is the accepted change that has the requested number; the zero change
	// for all reasons but NumberTaken.
	holder Change
	// number and activePreset are the configuration number in effect and the name
	// of the active preset at the rejection.
	number       uint64
	activePreset string
}

// NewRejectedError returns a stored rejection; decoders use it.
func NewRejectedError(command model.CommandID, reason Reason, holder Change, number uint64, activePreset string) *RejectedError {
	return &RejectedError{command: command, reason: reason, holder: holder, number: number, activePreset: activePreset}
}

// Command returns the identifier of the rejected command.
func (err *RejectedError) Command() model.CommandID { return err.command }

// Reason returns why the command was rejected.
func (err *RejectedError) Reason() Reason { return err.reason }

// Holder returns the accepted change that has the requested number, and false
// unless the reason is NumberTaken.
func (err *RejectedError) Holder() (Change, bool) { return err.holder, err.holder.number > 0 }

// Number returns the configuration number in effect at the rejection.
func (err *RejectedError) Number() uint64 { return err.number }

// ActivePreset returns the name of the active preset at the rejection.
func (err *RejectedError) ActivePreset() string { return err.activePreset }

// Error describes the rejection. The advice is in Reason().Advice().
func (err *RejectedError) Error() string {
	out := "rejected (" + err.reason.String() + ")"
	if ch, ok := err.Holder(); ok {
		out += ": number " + strconv.FormatUint(ch.number, 10) + " is held by " + ch.kind.String() + " " + ch.target +
			" of " + ch.operator + " (command " + string(ch.command) + ")"
	}
	return out + "; configuration " + strconv.FormatUint(err.number, 10) + " with preset " + err.activePreset +
		" is in effect"
}

// Result is the answer to a command. The zero value is not a valid answer.
type Result struct {
	// Exactly one of change and rejected is set.
	change   Change
	rejected *RejectedError
}

// Change returns the accepted change, and false when the command was rejected.
func (res Result) Change() (Change, bool) { return res.change, res.rejected == nil }

// Rejection returns the rejection, or nil when the command was accepted.
func (res Result) Rejection() *RejectedError { return res.rejected }

// Err returns the rejection as an error, or nil.
func (res Result) Err() error {
	if res.rejected == nil {
		return nil
	}
	return res.rejected
}
