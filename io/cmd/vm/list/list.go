// Package list is the command "vm list".
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
	return shell.New("vm list", "List the VMs of the system with their role and state.", "guavarail vm list", Run)
}

// Run prints the VMs.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	cl, stop, err := opt.Dial(env)
	if err != nil {
		return err
	}
	defer stop()
	list, err := cl.VMs(ctx)
	if err != nil {
		return err
	}
	return env.Show(opt.Output, list, Table(list.VMs))
}

// Table returns a table with one row for each VM.
func Table(vms []rest.VM) *term.Table {
	ta := term.NewTable("name", "centre", "state", "role", "leads", "disk", "api", "peers", "changed by")
	for _, vm := range vms {
		ta.Add(vm.Name, vm.Centre, shell.OrDash(vm.State), vm.Role, shell.List(vm.Leads), shell.YesNo(vm.Disk),
			vm.APIAddress, vm.PeerAddress, shell.ChangedBy(vm.By))
	}
	return ta
}
