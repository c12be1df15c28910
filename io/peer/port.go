// Package peer connects the VMs of the system. Each pair of VMs has one link, which
// is a yamux session over TCP that carries protobuf messages and is reopened when it
// fails.
package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
)

// Sender is the port through which other adapters send to a VM.
type Sender interface {
	// Send queues msg for the VM and does not block. Messages to one VM keep their
	// order. The oldest are dropped when the queue is full, and it holds few of them
	// while the VM is not reachable.
	Send(to model.VMID, msg proto.Message)
	// Request sends msg and waits for the answer. Requests have no order.
	Request(ctx context.Context, to model.VMID, msg proto.Message) (proto.Message, error)
}

// Handler handles the ordered messages of one type.
type Handler[T proto.Message] func(from model.VMID, msg T)

// RequestHandler handles the requests of one type and returns their answers.
type RequestHandler[Q, A proto.Message] func(ctx context.Context, from model.VMID, req Q) (A, error)
