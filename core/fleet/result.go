package fleet

import (
	"strconv"

	"guavarail/core/model"
)

// Reason says why a command was rejected. The zero value is not a rejection.
type Reason uint8

// The reasons.
const (
	Accepted Reason = iota
	// NumberTaken: another command holds the number.
	NumberTaken
	// NumberAhead: numbers between the one in effect and this one are free.
	NumberAhead
	// AnswerExpired: the number was taken by a command whose answer is no
	// longer kept, which may be this very command.
	AnswerExpired
	// IdentityReused: the identity belongs to a different command.
	IdentityReused
	// Invalid: a part of the command is missing or out of range.
	Invalid
	PresetExists
	PresetActive
	UnknownPreset
	UnknownCentre
	// LastCentre: no other data centre is in service.
	LastCentre
	VMExists
	UnknownVM
	NotLearner
	NoDisk
	// DiskChanged: the VM has another disk identity than the command names.
	DiskChanged
	// LastVoter: no other VM may vote.
	LastVoter
	// TooMany: a bound on the size of the state is reached.
	TooMany
	// AlreadyFounded: a bootstrap command after the first command.
	AlreadyFounded
)

// reasons holds the API name of each reason and what the operator can do.
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

// String returns the name used in the API.
func (re Reason) String() string {
	if int(re) < len(reasons) {
		return reasons[re].name
	}
	return reasons[Invalid].name
}

// Advice says what the operator can do.
func (re Reason) Advice() string {
	if int(re) < len(reasons) {
		return reasons[re].advice
	}
	return reasons[Invalid].advice
}

// RejectedError is a rejected command.
type RejectedError struct {
	command model.CommandID
	reason  Reason
	// holder is the change that holds the number asked for, or the zero
	// change.
	holder Change
	// number and active are the configuration in effect at the rejection.
	number uint64
	active string
}

// NewRejectedError returns a rejection; decoders use it.
func NewRejectedError(command model.CommandID, reason Reason, holder Change, number uint64, active string) *RejectedError {
	return &RejectedError{command: command, reason: reason, holder: holder, number: number, active: active}
}

// Command returns the identity of the rejected command.
func (err *RejectedError) Command() model.CommandID { return err.command }

// Reason returns why the command was rejected.
func (err *RejectedError) Reason() Reason { return err.reason }

// Holder returns the change that holds the number asked for, if it is known.
func (err *RejectedError) Holder() (Change, bool) { return err.holder, err.holder.number > 0 }

// Number returns the configuration number in effect at the rejection.
func (err *RejectedError) Number() uint64 { return err.number }

// Active returns the preset in effect at the rejection.
func (err *RejectedError) Active() string { return err.active }

// Error describes the rejection; the reason has the advice.
func (err *RejectedError) Error() string {
	out := "rejected (" + err.reason.String() + ")"
	if ch, ok := err.Holder(); ok {
		out += ": number " + strconv.FormatUint(ch.number, 10) + " is held by " + ch.kind.String() + " " + ch.target +
			" of " + ch.operator + " (command " + string(ch.command) + ")"
	}
	return out + "; configuration " + strconv.FormatUint(err.number, 10) + " with preset " + err.active +
		" is in effect"
}

// Result is the answer to a command. The zero value answers no command.
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
