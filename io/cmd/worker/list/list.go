// Package list is the command "worker list".
package list

import (
	"context"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	Centre string `arg:"--centre" help:"only workers of this data centre"`
	State  string `arg:"--state" help:"only workers in this state, such as quarantined"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("worker list", "List the workers with their load and why some get no tasks.",
		"guavarail worker list --state quarantined", Run)
}

// Run prints the workers.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	list, err := cl.Workers(ctx)
	if err != nil {
		return err
	}
	list.Workers = filter(list.Workers, opt)
	ta := term.NewTable("name", "centre", "rack", "state", "committed", "size", "tasks", "last report", "reason")
	for _, wo := range list.Workers {
		ta.Add(wo.Name, wo.Centre, wo.Rack, wo.State, shell.Resources(wo.Committed), shell.Resources(wo.Size),
			shell.Int(wo.Tasks), shell.Millis(wo.ReportAgeMs)+" ago", reasonText(wo))
	}
	if err := env.Show(opt.Output, list, ta); err != nil || len(list.Unreachable) == 0 {
		return err
	}
	return env.Streams.ErrLines("not reachable, workers are missing: " + shell.List(list.Unreachable))
}

// reasonText returns why a worker gets no tasks, and for a quarantined one when
// its probation starts.
func reasonText(wo rest.Worker) string {
	if wo.QuarantineMs > 0 {
		return wo.Reason + ", probation in " + shell.Millis(wo.QuarantineMs)
	}
	return shell.OrDash(wo.Reason)
}

// filter returns the workers that match the options.
func filter(wos []rest.Worker, opt Options) []rest.Worker {
	out := []rest.Worker{}
	for _, wo := range wos {
		if (opt.Centre == "" || wo.Centre == opt.Centre) && (opt.State == "" || wo.State == opt.State) {
			out = append(out, wo)
		}
	}
	return out
}
