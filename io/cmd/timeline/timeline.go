// Package timeline is the command "timeline": the events of all VMs in an order
// that puts causes before effects.
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

// pollEvery is the pause between two reads while following: an event shows up
// within about a second.
const pollEvery = time.Second

// maxLimit bounds the memory of the command: about 30 VMs with an event of some
// 300 B each.
const maxLimit = 100_000

// Run prints the events.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	if opt.Limit < 1 || opt.Limit > maxLimit {
		return shell.NewUsageError("--limit "+shell.Int(opt.Limit)+" is not allowed", "use 1 to "+shell.Int(maxLimit))
	}
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	srs, err := sources(ctx, cl)
	if err != nil {
		return err
	}
	for first := true; ; first = false {
		bat := readAll(ctx, srs, query(opt), opt.Limit)
		if !first && ctx.Err() != nil {
			return nil
		}
		if first && !bat.any() {
			return bat.failure()
		}
		if err := show(env, opt, bat, first); err != nil {
			return err
		}
		if !opt.Follow {
			return nil
		}
		if cl.Wait(ctx, pollEvery) != nil {
			return nil
		}
	}
}

func query(opt Options) rest.EventQuery {
	return rest.EventQuery{
		Job: opt.Job, Task: opt.Task, Request: opt.Request, VM: opt.VM, Centre: opt.Centre,
	}
}

// sources returns one source for each VM. When the list of VMs cannot be read,
// the given addresses are all that is known.
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

// show prints the events of one round and, when they change, the VMs that
// could not be reached.
func show(env shell.Env, opt Options, bat batch, first bool) error {
	if opt.JSON {
		// One line for each event, so that a reader can follow.
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
	return env.Streams.Note(bat.notes()...)
}

func table(evs []rest.Event) *term.Table {
	ta := term.NewTable("time", "vm", "event", "centre", "about", "details")
	for _, ev := range evs {
		ta.Add(shell.Timestamp(ev.TimeMs), ev.VM, ev.Kind, shell.OrDash(ev.Centre), about(ev), details(ev))
	}
	return ta
}
