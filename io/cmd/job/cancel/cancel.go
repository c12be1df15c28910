// Package cancel is the command "job cancel".
package cancel

import (
	"context"

	"guavarail/io/cmd/shell"
)

// Options of the command.
type Options struct {
	ID string `arg:"positional,required" help:"name of the job"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("job cancel", "Cancel a job; no task of it starts afterwards.", "guavarail job cancel fleet-allocation-7", Run)
}

// Run cancels the job. It has no effect on a job that has ended.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	can, err := cl.CancelJob(ctx, opt.ID)
	if err != nil {
		return err
	}
	if opt.JSON {
		return env.Streams.JSON(can)
	}
	if can.Repeated {
		return env.Streams.Lines("job " + can.ID + " had ended before: " + can.State)
	}
	return env.Streams.Lines("job " + can.ID + " is cancelled; its state is " + can.State)
}
