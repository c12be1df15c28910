// Package load is the command "load", an open-loop load generator for the request
// path: it sends at times that do not depend on the responses. Latencies are counted
// from the intended send time, so that they include the time that a request waits
// for a free connection.
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

// OptionError reports an option with an invalid value.
type OptionError struct{ name, allowed string }

// Error returns the accepted values.
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

// Run generates load and prints the report.
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

// Measure generates load and returns the report. It blocks until all responses have
// arrived or have timed out.
func Measure(ctx context.Context, op Options) (Report, error) {
	if err := op.check(); err != nil {
		return Report{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, op.Duration+op.Deadline+responseTimeout)
	defer cancel()
	start := time.Now()
	buffer := arrivalBuffer
	if op.Rate == 0 {
		buffer = 0
	}
	arrivals := make(chan arrival, buffer)
	tallies := make(chan *tally, op.Connections)
	for range op.Connections {
		sen := &sender{op: op, tally: newTally()}
		go sen.run(ctx, arrivals, tallies)
	}
	allPosted := make(chan struct{})
	go sendArrivals(ctx, op, start, arrivals, allPosted)
	total := newTally()
	for range op.Connections {
		total.merge(<-tallies)
	}
	<-allPosted
	return newReport(op, total, time.Since(start)), nil
}

const (
	// responseTimeout is how long to wait for responses after the deadline of the
	// last request.
	responseTimeout = 5 * time.Second
	// arrivalBuffer is how many arrivals may wait while all senders are busy. A
	// full buffer delays later arrivals, but does not change their latencies, since
	// these are counted from the intended send time.
	arrivalBuffer = 1 << 16
)

// arrival is one request to send at a given time, its intended send time.
type arrival struct {
	number uint64
	at     time.Time
}

// sendArrivals posts arrivals at exponentially distributed intervals until
// op.Duration has passed, and then closes both channels. With a rate of 0 it posts
// an arrival whenever a sender is free.
func sendArrivals(ctx context.Context, op Options, start time.Time, arrivals chan<- arrival, allPosted chan<- struct{}) {
	defer close(allPosted)
	defer close(arrivals)
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
		case arrivals <- arrival{number: num, at: next}:
		case <-ctx.Done():
			return
		}
	}
}
