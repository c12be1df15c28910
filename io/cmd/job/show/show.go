// Package show is the command "job show": it explains on one screen why tasks
// wait, where they ran, why they were evicted and what happens next. The output
// calls the entries of a task's history steps.
package show

import (
	"context"
	"strings"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	ID   string `arg:"positional,required" help:"name of the job"`
	Task *int   `arg:"--task" placeholder:"N" help:"show only this task, with all its steps"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("job show", "Explain the state of a job: why tasks wait, where they ran, why they were evicted.",
		"guavarail job show fleet-allocation-7 --task 3", Run)
}

// maxTasksShown bounds the rows of the table, so that the output fits on one screen.
const maxTasksShown = 12

// Run prints the job.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	jo, err := cl.Job(ctx, opt.ID)
	if err != nil {
		return err
	}
	if opt.JSON {
		return env.Streams.JSON(jo)
	}
	if opt.Task != nil {
		return showTask(env, jo, *opt.Task)
	}
	return showJob(env, jo)
}

// showJob prints a summary of the job and the first maxTasksShown of its tasks, those
// that need an explanation first.
func showJob(env shell.Env, jo rest.Job) error {
	if err := env.Streams.Lines(summary(jo)...); err != nil {
		return err
	}
	tas := sortedByRank(jo.Tasks)
	ta := term.NewTable("task", "state", "attempt", "worker", "rack", "why", "history")
	for _, task := range tas[:min(len(tas), maxTasksShown)] {
		ta.Add(shell.Int(task.Index), task.State, shell.Int(task.Attempt), shell.OrDash(task.Worker),
			shell.OrDash(task.Rack), shell.OrDash(explainState(task)), shell.OrDash(briefHistory(task.History)))
	}
	if err := env.Streams.Table(ta); err != nil {
		return err
	}
	hidden := len(tas) - min(len(tas), maxTasksShown) + jo.MoreTasks
	if hidden == 0 {
		return nil
	}
	return env.Streams.Lines("", shell.Int(hidden)+" more tasks; use --task N to see one, or --json")
}

// showTask prints one task with its whole history and what happens to it next.
func showTask(env shell.Env, jo rest.Job, index int) error {
	for _, task := range jo.Tasks {
		if task.Index != index {
			continue
		}
		lines := append(summary(jo), strings.TrimSuffix("task "+shell.Int(index)+": "+task.State+", "+explainState(task), ", "))
		for _, ent := range task.History {
			lines = append(lines, "  "+describeEntry(ent))
		}
		return env.Streams.Lines(append(lines, "next: "+describeNext(task))...)
	}
	return shell.NewUsageError("task "+shell.Int(index)+" is not in the answer", "use a number from 0 to "+shell.Int(jo.Counts.Total()-1)+", or --json")
}

// summary returns the lines about the job as a whole and an empty line after them.
func summary(jo rest.Job) []string {
	co := jo.Counts
	first := "job " + jo.ID + " of team " + jo.Team + " in " + jo.Centre + ": " + jo.State
	if jo.Reason != "" {
		first += " (" + reasonText(jo.Reason) + ")"
	}
	second := jo.Priority + " work of kind " + jo.Kind + ", " + shell.Resources(jo.Size) + " for each of " + shell.Int(co.Total()) + " tasks"
	third := shell.Int(co.Waiting) + " waiting, " + shell.Int(co.Starting+co.Running) + " running, " +
		shell.Int(co.Stopping) + " stopping, " + shell.Int(co.Finished) + " finished, " +
		shell.Int(co.Failed) + " failed, " + shell.Int(co.Cancelled) + " cancelled"
	return []string{first, second, third, ""}
}
