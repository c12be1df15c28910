// Package timeline is the command "timeline": it prints the events of all VMs in
// an order that puts causes before effects.
package timeline

import (
	"context"
	"time"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	Job     string `arg:"--job" help:"only events of this job"`
	Task    string `arg:"--task" placeholder:"JOB/N" help:"only events of this task"`
	Request string `arg:"--request" placeholder:"ID" help:"only events of this request"`
	VM      string `arg:"--vm" help:"only events about this VM or recorded by it"`
	Centre  string `arg:"--centre" help:"only events of this data centre"`
	Limit   int    `arg:"--limit" default:"1000" help:"newest events of each VM, 1 to 100000"`
	Follow  bool   `arg:"--follow,-f" help:"print new events until interrupted"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("timeline", "Show what happened on all VMs, causes before effects.",
		"guavarail timeline --job fleet-allocation-7 --follow", Run)
}

// pollInterval is the pause between two reads with --follow, and therefore about the
// longest delay of an event.
const pollInterval = time.Second

// maxLimit bounds the memory of the command: each of about 30 VMs may return that many
// events, of about 300 bytes each.
const maxLimit = 100_000

// Run prints the events and, with --follow, new ones until ctx ends.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	if opt.Limit < 1 || opt.Limit > maxLimit {
		return shell.NewUsageError("--limit "+shell.Int(opt.Limit)+" is not allowed", "use 1 to "+shell.Int(maxLimit))
	}
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	srcs, err := sources(ctx, cl)
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		bat := readAll(ctx, srcs, query(opt), opt.Limit)
		if !first && ctx.Err() != nil {
			return nil
		}
		if first && !bat.answered() {
			return bat.failure()
		}
		if err := printBatch(env, opt, bat, first); err != nil {
			return err
		}
		if !opt.Follow {
			return nil
		}
		if cl.Wait(ctx, pollInterval) != nil {
			return nil
		}
	}
}

func query(opt Options) rest.EventQuery {
	return rest.EventQuery{
		Job: opt.Job, Task: opt.Task, Request: opt.Request, VM: opt.VM, Centre: opt.Centre,
	}
}

// sources returns one source for each VM. If the list of VMs cannot be read, it
// returns one for each address that the client was given.
func sources(ctx context.Context, cl *client.Client) ([]*source, error) {
	list, err := cl.VMs(ctx)
	var out []*source
	for _, vm := range list.VMs {
		out = append(out, &source{name: vm.Name, cl: cl.At(vm.APIAddress)})
	}
	if len(out) > 0 {
		return out, nil
	}
	if err != nil && ctx.Err() != nil {
		return nil, err
	}
	for _, adr := range cl.Addresses() {
		out = append(out, &source{name: adr, cl: cl.At(adr)})
	}
	return out, nil
}

// printBatch prints the events of one read of all sources, and on the standard error a
// message for each source whose state changed.
func printBatch(env shell.Env, opt Options, bat batch, first bool) error {
	if opt.JSON {
		// One line for each event, so that a program can read them as they are printed.
		for _, ev := range bat.events {
			if err := env.Streams.JSON(ev); err != nil {
				return err
			}
		}
	} else if first || len(bat.events) > 0 {
		if err := env.Streams.Table(table(bat.events)); err != nil {
			return err
		}
	}
	return env.Streams.ErrLines(bat.messages()...)
}

func table(evs []rest.Event) *term.Table {
	ta := term.NewTable("time", "vm", "event", "centre", "about", "details")
	for _, ev := range evs {
		ta.Add(shell.Timestamp(ev.TimeMs), ev.VM, ev.Kind, shell.OrDash(ev.Centre), subject(ev), details(ev))
	}
	return ta
}
