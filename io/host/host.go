// Package host runs core machines as actors. An actor owns one machine: it
// feeds the machine inputs and timer ticks one at a time and hands the effects
// to a carrier in order.
package host

import (
	"context"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"guavarail/core/model"
)

// Clock reads the local monotonic time.
type Clock func() model.Instant

// NewClock returns a clock that starts at zero.
func NewClock() Clock {
	start := time.Now()
	return func() model.Instant { return model.Instant(time.Since(start)) }
}

// EffectHandler carries out one effect. It runs on the actor's own goroutine and
// must not block.
type EffectHandler[E any] func(eff E)

// Query runs on the actor's own goroutine with the machine that the actor owns
// and returns a copy of what it reads.
type Query[M any] func(now model.Instant, mac M) any

// tick asks the actor to step its machine with the configured tick input.
type tick struct{}

// Config describes one hosted machine.
type Config[M model.Machine[I, E], I, E any] struct {
	// Name is the actor's name, unique in its actor system.
	Name string
	// Machine is owned by the actor from Spawn on.
	Machine M
	// Clock gives the time that each step is taken at.
	Clock Clock
	// HandleEffect receives every effect in order.
	HandleEffect EffectHandler[E]
	// TickInterval is the tick interval; no ticks are sent when it is zero.
	TickInterval time.Duration
	// TickInput makes the input of one tick. It must be set when Every is.
	TickInput func() I
}

// Ref addresses a hosted machine.
type Ref[M model.Machine[I, E], I, E any] struct {
	sys *actor.ActorSystem
	pid *actor.PID
}

// Spawn starts the actor that owns cfg.Machine. The clean-up function stops
// the actor and returns once it has handled what was queued before.
func Spawn[M model.Machine[I, E], I, E any](sys *actor.ActorSystem, cfg Config[M, I, E]) (Ref[M, I, E], func(), error) {
	prp := actor.PropsFromProducer(func() actor.Actor { return &machineActor[M, I, E]{cfg: cfg} })
	pid, err := sys.Root.SpawnNamed(prp, cfg.Name)
	if err != nil {
		return Ref[M, I, E]{}, func() {}, &SpawnError{name: cfg.Name, cause: err}
	}
	ref := Ref[M, I, E]{sys: sys, pid: pid}
	return ref, func() { _ = sys.Root.PoisonFuture(pid).Wait() }, nil
}

// Send queues one input for the machine.
func (ref Ref[M, I, E]) Send(in I) {
	if ref.pid != nil {
		ref.sys.Root.Send(ref.pid, in)
	}
}

// Read runs que on the actor's goroutine and returns its result.
func Read[T any, M model.Machine[I, E], I, E any](ref Ref[M, I, E], within time.Duration, que func(now model.Instant, mac M) T) (T, error) {
	var zero T
	if ref.pid == nil {
		return zero, &ReadError{name: "", cause: actor.ErrDeadLetter}
	}
	got, err := ref.sys.Root.RequestFuture(ref.pid, Query[M](func(now model.Instant, mac M) any { return que(now, mac) }), within).Result()
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
	// stop ends the ticker; nil when there is none.
	stop func()
}

// Receive handles one actor message.
func (act *machineActor[M, I, E]) Receive(ctx actor.Context) {
	switch msg := ctx.Message().(type) {
	case *actor.Started:
		act.start(ctx)
	case *actor.Stopping:
		if act.stop != nil {
			act.stop()
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
	act.stop = Every(context.Background(), act.cfg.TickInterval, func(context.Context) { root.Send(self, tick{}) })
}
