// Package apply is the command "preset switch". The package has another name, since
// switch is a keyword of Go.
package apply

import (
	"context"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// Options of the command.
type Options struct {
	Name string `arg:"positional,required" help:"name of the preset"`
	shell.Operator
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("preset switch", "Make a preset the active one on all VMs.", "guavarail preset switch peak --operator ilze", Run)
}

// Run switches the active preset.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	return shell.Send(ctx, env, opt.Target, opt.Operator, opt.Output, func(cl *client.Client, he rest.Header) (rest.CommandAccepted, error) {
		return cl.SwitchPreset(ctx, opt.Name, rest.PresetSwitch{Header: he})
	})
}
