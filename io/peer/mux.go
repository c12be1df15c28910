package peer

import (
	"context"
	"maps"
	"reflect"
	"sync/atomic"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"guavarail/core/model"
	"guavarail/io/wire"
)

// handlerTable is one version of the handlers of a Mux, keyed by the full protobuf name
// of the message. It is immutable once Mux.table points to it.
type handlerTable struct {
	messageHandlers map[string]func(from model.VMID, body []byte) error
	requestHandlers map[string]func(ctx context.Context, from model.VMID, body []byte) (proto.Message, error)
}

// Mux routes messages and requests to handlers by the full protobuf name of the
// message. The zero value is an empty Mux. Handlers may be added while links are up.
type Mux struct {
	// table is replaced as a whole, so that links read it without a lock.
	table atomic.Pointer[handlerTable]
}

// Handle sets the handler of the ordered messages of type T. Messages of one VM are
// handled one at a time in the order in which they were sent, those of different VMs
// concurrently. A handler that blocks delays the messages of that VM; if the message
// comes from this VM itself, it blocks the hub's actor and with it all sending.
func Handle[T proto.Message](mux *Mux, han Handler[T]) {
	mux.update(func(tab *handlerTable) {
		tab.messageHandlers[kindFor[T]()] = func(from model.VMID, body []byte) error {
			msg, err := decode[T](body)
			if err != nil {
				return errors.Trace(err)
			}
			han(from, msg)
			return nil
		}
	})
}

// HandleRequest sets the handler of the requests of type Q. Each request runs on its own
// goroutine, with a context that ends with the request's timeout or its session.
func HandleRequest[Q, A proto.Message](mux *Mux, han RequestHandler[Q, A]) {
	mux.update(func(tab *handlerTable) {
		tab.requestHandlers[kindFor[Q]()] = func(ctx context.Context, from model.VMID, body []byte) (proto.Message, error) {
			req, err := decode[Q](body)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return han(ctx, from, req)
		}
	})
}

// update applies edit to a copy of the table and replaces the table by the copy.
func (mux *Mux) update(edit func(tab *handlerTable)) {
	for {
		old := mux.table.Load()
		tab := &handlerTable{
			messageHandlers: map[string]func(model.VMID, []byte) error{},
			requestHandlers: map[string]func(context.Context, model.VMID, []byte) (proto.Message, error){},
		}
		if old != nil {
			maps.Copy(tab.messageHandlers, old.messageHandlers)
			maps.Copy(tab.requestHandlers, old.requestHandlers)
		}
		edit(tab)
		if mux.table.CompareAndSwap(old, tab) {
			return
		}
	}
}

// deliver passes one ordered message to its handler. The error is an
// UnknownMessageError if there is none, a PanicError if the handler panicked, or reports a
// body that cannot be decoded.
func (mux *Mux) deliver(self model.VMID, env *wire.Envelope) (err error) {
	defer recoverPanic(env.GetKind(), &err)
	if tab := mux.table.Load(); tab != nil {
		if han := tab.messageHandlers[env.GetKind()]; han != nil {
			return han(model.VMID(env.GetFrom()), env.GetBody())
		}
	}
	return &UnknownMessageError{vm: self, kind: env.GetKind()}
}

// serveRequest passes one request to its handler and returns the answer.
func (mux *Mux) serveRequest(ctx context.Context, self model.VMID, env *wire.Envelope) (ans proto.Message, err error) {
	defer recoverPanic(env.GetKind(), &err)
	if tab := mux.table.Load(); tab != nil {
		if han := tab.requestHandlers[env.GetKind()]; han != nil {
			return han(ctx, model.VMID(env.GetFrom()), env.GetBody())
		}
	}
	return nil, &UnknownMessageError{vm: self, kind: env.GetKind()}
}

// kindFor returns the full protobuf name of T.
func kindFor[T proto.Message]() string {
	var zero T
	return string(zero.ProtoReflect().Descriptor().FullName())
}

// kindOf returns the full protobuf name of msg.
func kindOf(msg proto.Message) string {
	return string(msg.ProtoReflect().Descriptor().FullName())
}

// decode decodes a message of type T.
func decode[T proto.Message](body []byte) (T, error) {
	var zero T
	msg, ok := zero.ProtoReflect().New().Interface().(T)
	if !ok {
		return zero, &ProtocolError{text: "message type " + kindFor[T]() + " has no constructor"}
	}
	if err := proto.Unmarshal(body, msg); err != nil {
		return zero, errors.Annotatef(err, "decode %s", kindFor[T]())
	}
	return msg, nil
}

// goType returns the Go type of err.
func goType(err error) string { return reflect.TypeOf(err).String() }
