// Package peer links the VMs of the system: one yamux session for each pair,
// with protobuf messages.
package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
)

// Sender is the port through which other adapters reach a VM.
type Sender interface {
	// Send queues msg for the VM and returns at once. Messages to one VM keep
	// their order; they are dropped while the VM cannot be reached.
	Send(to model.VMID, msg proto.Message)
	// Request sends msg and waits for the answer.
	Request(ctx context.Context, to model.VMID, msg proto.Message) (proto.Message, error)
}

// Handler receives the ordered messages of one type.
type Handler[T proto.Message] func(from model.VMID, msg T)

// RequestHandler answers the requests of one type.
type RequestHandler[Q, A proto.Message] func(ctx context.Context, from model.VMID, que Q) (A, error)
