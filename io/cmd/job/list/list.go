// Package list is the command "job list".
package list

import (
	"context"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	Team  string `arg:"--team" help:"only jobs of this team"`
	State string `arg:"--state" help:"only jobs in this state, such as waiting"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("job list", "List the jobs with the number of tasks in each state.", "guavarail job list --state waiting", Run)
}

// Run prints the jobs.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	list, err := cl.Jobs(ctx)
	if err != nil {
		return err
	}
	list.Jobs = filter(list.Jobs, opt)
	ta := term.NewTable("id", "team", "priority", "centre", "state", "waiting", "running", "finished", "failed", "tasks", "reason")
	for _, jo := range list.Jobs {
		co := jo.Counts
		ta.Add(jo.ID, jo.Team, jo.Priority, jo.Centre, jo.State, shell.Int(co.Waiting), shell.Int(co.Starting+co.Running+co.Stopping),
			shell.Int(co.Finished), shell.Int(co.Failed), shell.Int(co.Total()), shell.OrDash(jo.Reason))
	}
	if err := env.Show(opt.Output, list, ta); err != nil || len(list.Unreachable) == 0 {
		return err
	}
	return env.Streams.ErrLines("not reachable, jobs are missing: " + shell.List(list.Unreachable))
}

// filter returns the jobs that match the options.
func filter(jobs []rest.Job, opt Options) []rest.Job {
	out := []rest.Job{}
	for _, jo := range jobs {
		if (opt.Team == "" || jo.Team == opt.Team) && (opt.State == "" || jo.State == opt.State) {
			out = append(out, jo)
		}
	}
	return out
}
