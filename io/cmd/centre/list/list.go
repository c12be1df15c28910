// Package list is the command "centre list".
package list

import (
	"context"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// Options of the command.
type Options struct {
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("centre list", "List the data centres with their service state.", "guavarail centre list", Run)
}

// Run prints the data centres.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	list, err := cl.Centres(ctx)
	if err != nil {
		return err
	}
	return env.Show(opt.Output, list, Table(list.Centres))
}

// Table returns a table with one row for each data centre.
func Table(ces []rest.Centre) *term.Table {
	ta := term.NewTable("name", "service", "admits", "reachable", "leader", "vms", "running", "waiting", "changed by")
	for _, ce := range ces {
		ta.Add(ce.Name, ce.Service, shell.Int(ce.AdmitPercent)+"%", shell.YesNo(ce.Reachable), shell.OrDash(ce.Leader),
			shell.Int(ce.VMs), shell.Int(ce.RunningTasks), shell.Int(ce.WaitingTasks), shell.ChangedBy(ce.By))
	}
	return ta
}
