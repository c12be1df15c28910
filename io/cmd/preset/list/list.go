// Package list is the command "preset list".
package list

import (
	"context"

	"guavarail/io/cmd/shell"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("preset list", "List the presets and show which one is active.", "guavarail preset list", Run)
}

// Run prints the presets.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	list, err := cl.Presets(ctx)
	if err != nil {
		return err
	}
	ta := term.NewTable("name", "active", "deadline", "batch share", "drain", "forward", "created by")
	for _, pre := range list.Presets {
		ta.Add(pre.Name, shell.YesNo(pre.Active), shell.Millis(pre.DeadlineMs),
			shell.Int(pre.BatchSharePercent)+"%", pre.Drain, shell.YesNo(pre.Forward), shell.ChangedBy(pre.By))
	}
	return env.Show(opt.Output, list, ta)
}
