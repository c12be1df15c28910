// Package out is the command "centre out".
package out

import (
	"context"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// Options of the command.
type Options struct {
	Name  string `arg:"positional,required" help:"name of the data centre"`
	Force bool   `arg:"--force" help:"take it out even if no other data centre is in service"`
	shell.Operator
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("centre out", "Take a data centre out of service; no task starts there after 3 s.",
		"guavarail centre out riga-b --operator ilze", Run)
}

// Run takes the data centre out of service.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	return shell.Send(ctx, env, opt.Target, opt.Operator, opt.Output, func(cl *client.Client, he rest.Header) (rest.CommandAccepted, error) {
		return cl.CentreOut(ctx, opt.Name, rest.CentreCommand{Header: he, Force: opt.Force})
	})
}
