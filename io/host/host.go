// Package host runs the state machines of core/ as actors. Each actor owns one
// state machine: it passes inputs and timer ticks to the machine one at a time
// and executes the effects in order.
package host

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
)

// EffectHandler executes one effect. It runs on the actor's goroutine and must
// not block.
type EffectHandler[E any] func(eff E)

// Query is a function that reads the state machine. The actor calls it on its own
// goroutine. The result must not refer to the state of the machine.
type Query[M any] func(now model.Instant, mac M) any

// tick makes the actor pass the result of Config.TickInput to its machine.
type tick struct{}

// Config describes a state machine and the actor that runs it.
type Config[M model.Machine[I, E], I, E any] struct {
	// Name is the actor's name, unique in its actor system.
	Name string
	// Machine is the state machine. The actor owns it once Spawn is called.
	Machine M
	// Clock provides the time of each step.
	Clock Clock
	// HandleEffect executes the effects, in order.
	HandleEffect EffectHandler[E]
	// TickInterval is the time between two ticks; zero means no ticks.
	TickInterval time.Duration
	// TickInput creates the input of one tick; nil means no ticks.
	TickInput func() I
}

// Ref is a reference to the actor of a state machine. The zero value drops inputs
// and fails reads.
type Ref[M model.Machine[I, E], I, E any] struct {
	sys *actor.ActorSystem
	pid *actor.PID
}

// Spawn starts the actor that owns cfg.Machine. The clean-up function stops the
// actor and returns once the actor has handled all queued messages.
func Spawn[M model.Machine[I, E], I, E any](sys *actor.ActorSystem, cfg Config[M, I, E]) (Ref[M, I, E], func(), error) {
	prp := actor.PropsFromProducer(func() actor.Actor { return &machineActor[M, I, E]{cfg: cfg} })
	pid, err := sys.Root.SpawnNamed(prp, cfg.Name)
	if err != nil {
		return Ref[M, I, E]{}, func() {}, &SpawnError{name: cfg.Name, cause: err}
	}
	ref := Ref[M, I, E]{sys: sys, pid: pid}
	return ref, func() { _ = sys.Root.PoisonFuture(pid).Wait() }, nil
}

// Send queues one input for the machine. It does not block.
func (ref Ref[M, I, E]) Send(in I) {
	if ref.pid != nil {
		ref.sys.Root.Send(ref.pid, in)
	}
}

// Read runs query on the actor's goroutine and returns its result. It returns a
// *ReadError if the actor was stopped or does not answer within timeout. The
// result must not refer to the state of the machine.
func Read[T any, M model.Machine[I, E], I, E any](ref Ref[M, I, E], timeout time.Duration, query func(now model.Instant, mac M) T) (T, error) {
	var zero T
	if ref.pid == nil {
		return zero, &ReadError{name: "", cause: actor.ErrDeadLetter}
	}
	got, err := ref.sys.Root.RequestFuture(ref.pid, Query[M](func(now model.Instant, mac M) any { return query(now, mac) }), timeout).Result()
	if err != nil {
		return zero, &ReadError{name: ref.pid.GetId(), cause: err}
	}
	val, ok := got.(T)
	if !ok {
		return zero, &ReadError{name: ref.pid.GetId(), cause: actor.ErrDeadLetter}
	}
	return val, nil
}

// machineActor is the actor that owns one machine.
type machineActor[M model.Machine[I, E], I, E any] struct {
	cfg Config[M, I, E]
	// stopTicker stops the ticker; nil if there is none.
	stopTicker func()
}

// Receive handles one message of the actor.
func (act *machineActor[M, I, E]) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		act.start(ctx)
	case *actor.Stopping:
		if act.stopTicker != nil {
			act.stopTicker()
		}
	case tick:
		act.step(act.cfg.TickInput())
	case Query[M]:
		ctx.Respond(msg(act.cfg.Clock(), act.cfg.Machine))
	case I:
		act.step(msg)
	}
}

func (act *machineActor[M, I, E]) step(in I) {
	for _, eff := range act.cfg.Machine.Step(act.cfg.Clock(), in) {
		act.cfg.HandleEffect(eff)
	}
}

func (act *machineActor[M, I, E]) start(ctx actor.Context) {
	if act.cfg.TickInterval <= 0 || act.cfg.TickInput == nil {
		return
	}
	root, self := ctx.ActorSystem().Root, ctx.Self()
	act.stopTicker = Every(context.Background(), act.cfg.TickInterval, func(context.Context) { root.Send(self, tick{}) })
}
