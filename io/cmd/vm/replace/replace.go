// Package replace is the command "vm replace".
package replace

import (
	"context"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// Options of the command.
type Options struct {
	Old         string `arg:"positional,required" help:"name of the VM that is lost"`
	Name        string `arg:"--name" help:"name of the new VM [default: the name of the lost one]"`
	Centre      string `arg:"--centre" help:"data centre [default: as before]"`
	PeerAddress string `arg:"--peer-address" placeholder:"IP:PORT" help:"address for other VMs [default: as before]"`
	APIAddress  string `arg:"--api-address" placeholder:"IP:PORT" help:"address of the API [default: as before]"`
	DiskID      string `arg:"--disk-id" placeholder:"ID" help:"identity of the new data directory, if it is known"`
	NoDisk      bool   `arg:"--no-disk" help:"the new VM has no disk"`
	shell.Operator
	shell.Target
	shell.Output
}

// New returns the command.
func New() shell.Command {
	return shell.New("vm replace", "Replace a lost VM, or one with a new disk; the new one joins as a learner.",
		"guavarail vm replace riga-a-1 --peer-address 10.0.0.9:7002 --api-address 10.0.0.9:7001", Run)
}

// Run replaces the VM.
func Run(ctx context.Context, env shell.Env, opt Options) error {
	return shell.Send(ctx, env, opt.Target, opt.Operator, opt.Output, func(cl *client.Client, he rest.Header) (rest.CommandAccepted, error) {
		vm, err := newVM(ctx, cl, opt)
		if err != nil {
			return rest.CommandAccepted{}, err
		}
		return cl.ReplaceVM(ctx, opt.Old, rest.VMCommand{Header: he, VM: vm})
	})
}

// newVM returns the description of the new VM. Values for which no option is given are
// those of the lost VM.
func newVM(ctx context.Context, cl *client.Client, opt Options) (rest.VM, error) {
	vm := rest.VM{
		Name: opt.Name, Centre: opt.Centre, PeerAddress: opt.PeerAddress, APIAddress: opt.APIAddress,
		Disk: !opt.NoDisk, DiskID: opt.DiskID,
	}
	if vm.Name == "" {
		vm.Name = opt.Old
	}
	if vm.Centre != "" && vm.PeerAddress != "" && vm.APIAddress != "" {
		return vm, nil
	}
	list, err := cl.VMs(ctx)
	if err != nil {
		return vm, err
	}
	for _, old := range list.VMs {
		if old.Name == opt.Old {
			setIfEmpty(&vm.Centre, old.Centre)
			setIfEmpty(&vm.PeerAddress, old.PeerAddress)
			setIfEmpty(&vm.APIAddress, old.APIAddress)
			return vm, nil
		}
	}
	if opt.Command != "" {
		// The command is sent again after it removed the lost VM: the system finds its
		// first answer by the command ID and ignores the description.
		return vm, nil
	}
	return vm, shell.NewUsageError("VM "+opt.Old+" is not known and the description of the new one is incomplete",
		"run guavarail vm list, or give --centre, --peer-address and --api-address")
}

// setIfEmpty sets dst to val if dst is empty.
func setIfEmpty(dst *string, val string) {
	if *dst == "" {
		*dst = val
	}
}
