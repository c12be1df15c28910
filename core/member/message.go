package member

import "guavarail/core/model"

// State is the state of a VM as another VM sees it.
type State uint8

// The states. The zero value is Unknown.
const (
	// Unknown: there was no message from the VM, no update about it and no failed
	// probe of it yet.
	Unknown State = iota
	// Alive: this VM or another one received a message from the VM, and at that
	// incarnation no VM suspects it.
	Alive
	// Suspect: a probe failed, here or on another VM, and the VM can still refute
	// it.
	Suspect
	// Dead: the VM did not refute the suspicion in time, and neither the probe of
	// this VM nor that of a helper got an answer.
	Dead
)

// String returns the name used in the API and in events.
func (st State) String() string {
	switch st {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Update is a membership update: the state of a VM at an incarnation of it. A VM
// raises its own incarnation to refute an update that it is suspect or dead.
type Update struct {
	vm          model.VMID
	state       State
	incarnation uint64
}

// NewUpdate returns an update about vm.
func NewUpdate(vm model.VMID, state State, incarnation uint64) Update {
	return Update{vm: vm, state: state, incarnation: incarnation}
}

// VM returns the VM that the update is about.
func (upd Update) VM() model.VMID { return upd.vm }

// State returns the state of the VM.
func (upd Update) State() State { return upd.state }

// Incarnation returns the incarnation of the VM to which the state applies.
func (upd Update) Incarnation() uint64 { return upd.incarnation }

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. A Ping is answered by an Ack. A PingRequest asks the receiver
// to probe a third VM, the target, and is answered by an Ack if the target answered in
// time, or else by a Nack.
const (
	Ping Kind = iota
	Ack
	Nack
	PingRequest
)

// Message is one message between two VMs.
type Message struct {
	kind Kind
	// seq is the sequence number of the probe, chosen by the sender of the Ping or
	// PingRequest. An answer has that of the message that it answers.
	seq uint64
	// target is the probed VM in a PingRequest and in its answers, else empty.
	target model.VMID
	// incarnation is the incarnation of the sender.
	incarnation uint64
	updates     []Update
}

// NewMessage returns a message; see the accessors for its parts.
func NewMessage(kind Kind, seq uint64, target model.VMID, incarnation uint64, updates ...Update) Message {
	return Message{kind: kind, seq: seq, target: target, incarnation: incarnation, updates: updates}
}

// Kind returns the type of the message.
func (msg Message) Kind() Kind { return msg.kind }

// Seq returns the sequence number of the probe, chosen by the sender of the Ping or
// PingRequest and returned in the answer.
func (msg Message) Seq() uint64 { return msg.seq }

// Target returns the probed VM of a PingRequest and of its answers, else "".
func (msg Message) Target() model.VMID { return msg.target }

// Incarnation returns the incarnation of the sender.
func (msg Message) Incarnation() uint64 { return msg.incarnation }

// Updates returns a copy of the updates that the message carries.
func (msg Message) Updates() []Update { return append([]Update(nil), msg.updates...) }

// Input is a Tick, Received or SetPeers.
type Input interface{ input() }

// Tick advances the detector to the time of the step. It should come several
// times in a period: every DefaultTick if the period is DefaultPeriod.
type Tick struct{}

// Received is a message from another VM. Messages may be lost, delayed, duplicated
// and reordered.
type Received struct {
	From    model.VMID
	Message Message
}

// SetPeers replaces the set of other VMs.
type SetPeers struct{ VMs []model.VMID }

func (Tick) input()     {}
func (Received) input() {}
func (SetPeers) input() {}

// Effect is a Send or a Changed.
type Effect interface{ effect() }

// Send is a message to send.
type Send struct {
	to  model.VMID
	msg Message
}

// To returns the receiver.
func (se Send) To() model.VMID { return se.to }

// Message returns the message.
func (se Send) Message() Message { return se.msg }

// Changed reports that the state of another VM, as this VM sees it, changed.
type Changed struct {
	vm            model.VMID
	before, after State
}

// VM returns the VM.
func (ch Changed) VM() model.VMID { return ch.vm }

// Before returns the state before the change.
func (ch Changed) Before() State { return ch.before }

// After returns the state after the change.
func (ch Changed) After() State { return ch.after }

func (Send) effect()    {}
func (Changed) effect() {}
