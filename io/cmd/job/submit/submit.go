// Package submit is the command "job submit".
package submit

import (
	"context"
	"strings"

	"github.com/juju/errors"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// Options of the command.
type Options struct {
	ID           string  `arg:"positional" help:"name of the job [default: a new one]"`
	Team         string  `arg:"--team,required" help:"team whose quota the job uses"`
	Tasks        int     `arg:"--tasks" default:"1" help:"number of tasks"`
	CPU          float64 `arg:"--cpu" default:"1" help:"processors of each task"`
	MemoryMB     int64   `arg:"--memory-mb" default:"1024" help:"memory of each task"`
	Accelerators int64   `arg:"--accelerators" help:"accelerators of each task"`
	Priority     string  `arg:"--priority" default:"batch" help:"batch, service or urgent"`
	Kind         string  `arg:"--kind" help:"what the tasks do, for learning sizes [default: the name]"`
	RunTimeMs    int64   `arg:"--run-time-ms" placeholder:"MS" help:"declared run time of a task, 0 for unknown"`
	Centre       string  `arg:"--centre" help:"data centre to run in [default: the one of the VM that answers]"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("job submit", "Submit a job; the same job again is accepted once.",
		"guavarail job submit fleet-allocation-7 --team fleet --tasks 40 --cpu 4 --memory-mb 8000", Run)
}

const milliPerCPU = 1000

// Run submits the job.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	body := rest.JobSubmit{
		ID: opt.ID, Team: opt.Team, Priority: opt.Priority, Kind: opt.Kind, Tasks: opt.Tasks,
		Size:      rest.Resources{MilliCPU: int64(opt.CPU * milliPerCPU), MemoryMB: opt.MemoryMB, Accelerators: opt.Accelerators},
		RunTimeMs: opt.RunTimeMs, Centre: opt.Centre,
	}
	if body.ID == "" {
		body.ID = "job-" + strings.ToLower(env.NewID())
	}
	// The data centre is determined before the job is sent, so that the advice for
	// a lost answer can name it.
	if body.Centre == "" {
		if body.Centre, err = cl.DefaultCentre(ctx); err != nil {
			return err
		}
	}
	acc, err := cl.SubmitJob(ctx, body)
	var une *client.UnreachableError
	if errors.As(err, &une) && une.MaybeDone() {
		return shell.NewResendError(err, "run the command again with the name "+body.ID+", --centre "+body.Centre+" and the same options; the job is accepted once")
	}
	if err != nil {
		return err
	}
	if opt.JSON {
		return env.Streams.JSON(acc)
	}
	state := "accepted"
	if acc.Repeated {
		state = "accepted before"
	}
	return env.Streams.Lines("job " + acc.ID + " is " + state + " in " + acc.Centre)
}
