package member

import "guavarail/core/model"

// State is what a VM believes of another one.
type State uint8

// The states. The zero value is a VM that was never heard of.
const (
	Unknown State = iota
	Alive
	Suspect
	Dead
)

// String returns the name used in the API and the time line.
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

// News is what a VM believes of another one at an incarnation. A VM counts its
// own incarnation up to contradict news that it is not alive.
type News struct {
	vm          model.VMID
	state       State
	incarnation uint64
}

// NewNews returns news about vm.
func NewNews(vm model.VMID, state State, incarnation uint64) News {
	return News{vm: vm, state: state, incarnation: incarnation}
}

// VM returns the VM that the news is about.
func (ne News) VM() model.VMID { return ne.vm }

// State returns the state of the VM.
func (ne News) State() State { return ne.state }

// Incarnation returns the incarnation that the state belongs to.
func (ne News) Incarnation() uint64 { return ne.incarnation }

// Kind is the type of a message.
type Kind uint8

// The kinds of messages. An Ask requests a probe of a third VM; its sender
// gets an Ack when that VM answered and a Nack when it did not.
const (
	Ping Kind = iota
	Ack
	Nack
	Ask
)

// Message is one message between two VMs.
type Message struct {
	kind Kind
	// seq is that of the probe, chosen by the VM that started it.
	seq uint64
	// target is the probed VM in an Ask and in its answers, else empty.
	target model.VMID
	// incarnation is that of the sender.
	incarnation uint64
	news        []News
}

// NewMessage returns a message; see the accessors for its parts.
func NewMessage(kind Kind, seq uint64, target model.VMID, incarnation uint64, news ...News) Message {
	return Message{kind: kind, seq: seq, target: target, incarnation: incarnation, news: news}
}

// Kind returns the type of the message.
func (msg Message) Kind() Kind { return msg.kind }

// Seq returns the number of the probe.
func (msg Message) Seq() uint64 { return msg.seq }

// Target returns the probed VM of an Ask and of its answers.
func (msg Message) Target() model.VMID { return msg.target }

// Incarnation returns the incarnation of the sender.
func (msg Message) Incarnation() uint64 { return msg.incarnation }

// News returns a copy of the news on the message.
func (msg Message) News() []News { return append([]News(nil), msg.news...) }

// Input is a Tick, Received or Peers.
type Input interface{ input() }

// Tick lets time pass. It should come several times in a period.
type Tick struct{}

// Received is a message from another VM. Messages may be lost, late, repeated
// and out of order.
type Received struct {
	From    model.VMID
	Message Message
}

// Peers replaces the set of other VMs.
type Peers struct{ VMs []model.VMID }

func (Tick) input()     {}
func (Received) input() {}
func (Peers) input()    {}

// Effect is a Send or a Changed.
type Effect interface{ effect() }

// Send asks to send a message.
type Send struct {
	to  model.VMID
	msg Message
}

// To returns the receiver.
func (se Send) To() model.VMID { return se.to }

// Message returns the message.
func (se Send) Message() Message { return se.msg }

// Changed reports that the state of a VM changed.
type Changed struct {
	vm          model.VMID
	before, now State
}

// VM returns the VM.
func (ch Changed) VM() model.VMID { return ch.vm }

// Before returns the state before the change.
func (ch Changed) Before() State { return ch.before }

// Now returns the state after the change.
func (ch Changed) Now() State { return ch.now }

func (Send) effect()    {}
func (Changed) effect() {}
