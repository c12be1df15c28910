// Package peer connects the VMs of the system. Each pair of VMs has one link. A link
// has at most one session, which is a yamux session over TCP that carries protobuf
// messages; when it fails, the VMs open another. A link carries ordered messages, which
// have no answer and arrive in the order in which they were sent, and requests, which
// have one answer and no order. The Hub of a VM owns its links; one actor runs the Hub
// and one each link.
package peer

import (
	"context"

	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
)

// Sender is the port through which other adapters send to a VM.
type Sender interface {
	// Send queues msg for the VM and does not block. Messages to one VM keep their
	// order. When the queue of the VM's link is full, its oldest messages are dropped;
	// while the VM is not reachable, the bound is much lower. When the mailbox of an
	// actor on the way to the queue is full, msg is dropped. There is no report of a
	// lost message.
	Send(to model.VMID, msg proto.Message)
	// Request sends msg and waits for the answer. Requests have no order.
	Request(ctx context.Context, to model.VMID, msg proto.Message) (proto.Message, error)
}

// Handler handles the ordered messages of one type.
type Handler[T proto.Message] func(from model.VMID, msg T)

// RequestHandler handles the requests of one type and returns their answers.
type RequestHandler[Q, A proto.Message] func(ctx context.Context, from model.VMID, req Q) (A, error)
