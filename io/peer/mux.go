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

// routes is one version of the table of a Mux. It is never changed after it
// was published.
type routes struct {
	handlers  map[string]func(from model.VMID, body []byte) error
	answerers map[string]func(ctx context.Context, from model.VMID, body []byte) (proto.Message, error)
}

// Mux routes messages to handlers by the full protobuf name of the message.
// The zero value is an empty Mux. Handlers may be added while links are up.
type Mux struct {
	// table is replaced as a whole, so links read it without a lock.
	table atomic.Pointer[routes]
}

// Handle adds the handler of the ordered messages of type T. Messages of one
// VM are handled one at a time in the order in which they were sent; a handler
// that blocks holds up the messages of that VM only.
func Handle[T proto.Message](mux *Mux, han Handler[T]) {
	mux.change(func(tab *routes) {
		tab.handlers[kindFor[T]()] = func(from model.VMID, body []byte) error {
			msg, err := decode[T](body)
			if err != nil {
				return errors.Trace(err)
			}
			han(from, msg)
			return nil
		}
	})
}

// HandleRequest adds the answerer of the requests of type Q. Each request runs on its
// own goroutine with a context that ends with the link.
func HandleRequest[Q, A proto.Message](mux *Mux, ans RequestHandler[Q, A]) {
	mux.change(func(tab *routes) {
		tab.answerers[kindFor[Q]()] = func(ctx context.Context, from model.VMID, body []byte) (proto.Message, error) {
			que, err := decode[Q](body)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return ans(ctx, from, que)
		}
	})
}

// change publishes a changed copy of the table.
func (mux *Mux) change(edit func(tab *routes)) {
	for {
		old := mux.table.Load()
		tab := &routes{
			handlers:  map[string]func(model.VMID, []byte) error{},
			answerers: map[string]func(context.Context, model.VMID, []byte) (proto.Message, error){},
		}
		if old != nil {
			maps.Copy(tab.handlers, old.handlers)
			maps.Copy(tab.answerers, old.answerers)
		}
		edit(tab)
		if mux.table.CompareAndSwap(old, tab) {
			return
		}
	}
}

// deliver hands one ordered message to its handler.
func (mux *Mux) deliver(self model.VMID, env *wire.Envelope) error {
	if tab := mux.table.Load(); tab != nil {
		if han := tab.handlers[env.GetKind()]; han != nil {
			return han(model.VMID(env.GetFrom()), env.GetBody())
		}
	}
	return &UnknownMessageError{vm: self, kind: env.GetKind()}
}

// answer hands one request to its answerer.
func (mux *Mux) answer(ctx context.Context, self model.VMID, env *wire.Envelope) (proto.Message, error) {
	if tab := mux.table.Load(); tab != nil {
		if ans := tab.answerers[env.GetKind()]; ans != nil {
			return ans(ctx, model.VMID(env.GetFrom()), env.GetBody())
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

// decode returns the message of type T in body.
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
