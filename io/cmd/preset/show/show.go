// Package show is the command "preset show".
package show

import (
	"context"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	Name string `arg:"positional,required" help:"name of the preset"`
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("preset show", "Show all values of a preset, defaults included.", "guavarail preset show peak", Run)
}

// Run prints the preset.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	pre, err := cl.Preset(ctx, opt.Name)
	if err != nil {
		return err
	}
	return env.Show(opt.Output, pre, table(pre))
}

func table(pre rest.Preset) *term.Table {
	ta := shell.NewKeyValueTable()
	ta.Add("name", pre.Name)
	ta.Add("active", shell.YesNo(pre.Active))
	ta.Add("created by", shell.ChangedBy(pre.By))
	ta.Add("deadline", shell.Millis(pre.DeadlineMs))
	ta.Add("longest request", shell.Millis(pre.MaxRequestMs))
	ta.Add("queue per slot", shell.Int(pre.QueuePerSlot))
	ta.Add("batch share", shell.Int(pre.BatchSharePercent)+"%")
	ta.Add("drain", pre.Drain)
	ta.Add("forward requests", shell.YesNo(pre.Forward))
	ta.Add("latency guards", shell.YesNo(pre.Guards == nil || *pre.Guards))
	for _, ser := range pre.Services {
		ta.Add("service "+ser.Service, "p99 target "+shell.Millis(ser.TailTargetMs)+", weight "+shell.Int(ser.Weight))
	}
	for _, qu := range pre.Quotas {
		ta.Add("quota "+qu.Team, shell.Resources(qu.Limit)+", weight "+shell.Int(qu.Weight))
	}
	return ta
}
