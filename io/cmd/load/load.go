// Package load is the command that measures the request path. It sends
// requests at intended times that do not depend on the responses, and counts
// latencies from those times, so that a slow system cannot hide its queue.
package load

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"guavarail/io/cmd/shell"
)

// Options are the arguments of the command.
type Options struct {
	URL         string        `arg:"positional,required" help:"address to send to, such as http://127.0.0.1:8080/orders/quote"`
	Rate        float64       `arg:"--rate" default:"1000" help:"requests a second; 0 sends on each connection as fast as responses arrive"`
	Duration    time.Duration `arg:"--duration" default:"10s" help:"how long to send"`
	Connections int           `arg:"--connections" default:"60" help:"most connections open at once"`
	Deadline    time.Duration `arg:"--deadline" default:"1s" help:"deadline of each request; later responses do not count as goodput"`
	Callers     int           `arg:"--callers" default:"1" help:"number of caller names to use in turn"`
	Method      string        `arg:"--method" default:"GET" help:"request method"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the arrival times"`
	shell.Output
}

// OptionError reports an argument that cannot be used.
type OptionError struct{ name, allowed string }

// Error says what to do.
func (err *OptionError) Error() string { return "set " + err.name + " to " + err.allowed }

func (op Options) check() error {
	switch {
	case op.Rate < 0 || op.Rate > 1_000_000:
		return &OptionError{name: "--rate", allowed: "0 to 1000000"}
	case op.Duration <= 0 || op.Duration > time.Hour:
		return &OptionError{name: "--duration", allowed: "at most 1h"}
	case op.Connections < 1 || op.Connections > 20000:
		return &OptionError{name: "--connections", allowed: "1 to 20000"}
	case op.Deadline <= 0:
		return &OptionError{name: "--deadline", allowed: "a time such as 1s"}
	}
	return nil
}

// New returns the command.
func New() shell.Command {
	return shell.New("load", "Send requests at a fixed rate and report outcomes and latencies.",
		"guavarail load http://127.0.0.1:8080/orders/quote --rate 2000 --duration 30s --connections 600", Run)
}

// Run sends the load and prints the report.
func Run(ctx context.Context, env shell.Env, op Options) error {
	rep, err := Measure(ctx, op)
	if err != nil {
		return errors.Trace(err)
	}
	if op.JSON {
		return env.Streams.JSON(rep)
	}
	return env.Streams.Lines(rep.Lines()...)
}

// Measure sends the load and returns the report.
func Measure(ctx context.Context, op Options) (Report, error) {
	if err := op.check(); err != nil {
		return Report{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, op.Duration+op.Deadline+grace)
	defer cancel()
	start := time.Now()
	ahead := planAhead
	if op.Rate == 0 {
		ahead = 0
	}
	plan := make(chan arrival, ahead)
	parts := make(chan *tally, op.Connections)
	for range op.Connections {
		sen := &sender{op: op, tally: newTally()}
		go sen.run(ctx, plan, parts)
	}
	planned := make(chan struct{})
	go schedule(ctx, op, start, plan, planned)
	total := newTally()
	for range op.Connections {
		total.merge(<-parts)
	}
	<-planned
	return newReport(op, total, time.Since(start)), nil
}

const (
	// grace lets the last responses arrive.
	grace = 5 * time.Second
	// planAhead lets the schedule run ahead of senders that are all busy. The
	// intended time is part of the arrival, so a full plan delays no count.
	planAhead = 1 << 16
)

// arrival is one request with its intended send time.
type arrival struct {
	number uint64
	at     time.Time
}

// schedule posts arrivals at exponentially distributed distances and closes
// planned at its end.
func schedule(ctx context.Context, op Options, start time.Time, plan chan<- arrival, planned chan<- struct{}) {
	defer close(planned)
	defer close(plan)
	rnd := rand.New(rand.NewPCG(op.Seed, 0))
	next, end := start, start.Add(op.Duration)
	for num := uint64(0); ; num++ {
		if op.Rate > 0 {
			next = next.Add(time.Duration(rnd.ExpFloat64() / op.Rate * float64(time.Second)))
		} else {
			next = time.Now()
		}
		if !next.Before(end) {
			return
		}
		if wait := time.Until(next); wait > 0 {
			time.Sleep(wait)
		}
		select {
		case plan <- arrival{number: num, at: next}:
		case <-ctx.Done():
			return
		}
	}
}
