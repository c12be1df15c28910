// Package in is the command "centre in".
package in

import (
	"context"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// Options of the command.
type Options struct {
	Name string `arg:"positional,required" help:"name of the data centre"`
	shell.Operator
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("centre in", "Bring a data centre back into service, in steps over 8 s.",
		"guavarail centre in riga-b --operator ilze", Run)
}

// Run brings the data centre back into service.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	return shell.Send(ctx, env, opt.Target, opt.Operator, opt.Output, func(cl *client.Client, he rest.Header) (rest.CommandAccepted, error) {
		return cl.CentreIn(ctx, opt.Name, rest.CentreCommand{Header: he})
	})
}
