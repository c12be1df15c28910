// Package serve is the command "serve".
package serve

import (
	"context"
	"os"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/cell"
	"guavarail/io/cmd/shell"
	"guavarail/io/config"
	"guavarail/io/node"
)

// Options of the command.
type Options struct {
	Settings string `arg:"-s,--settings,required" help:"settings file"`
}

// Attach serves the users of a cell on one of its VMs. The returned function
// ends that and lets the requests in flight finish while its context lasts.
type Attach func(vm *cell.VM, log hclog.Logger) (func(ctx context.Context), error)

// New returns the command. att serves the users of a VM of a cell.
func New(att Attach) shell.Command {
	return shell.New("serve", "Run one VM of the system until it is told to stop.",
		"guavarail serve --settings /etc/guavarail.ini",
		func(ctx context.Context, env shell.Env, opt Options) error { return Run(ctx, env, opt, att) })
}

// Run serves until ctx ends, which starts a planned shutdown.
func Run(ctx context.Context, env shell.Env, opt Options, att Attach) error {
	data, err := os.ReadFile(opt.Settings)
	if err == nil && config.IsCell(data) {
		return runCell(ctx, env, opt.Settings, data, att)
	}
	set, err := config.Load(opt.Settings)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: string(set.Name()), Level: hclog.LevelFromString(set.LogLevel()), Output: env.Streams.Err(),
	})
	nod, stop, err := node.New(set, log)
	if err != nil {
		return err
	}
	defer stop()
	log.Info("serving", "callers", set.Listen().Callers(), "api", set.Listen().API(), "peers", set.Listen().Peers())
	<-ctx.Done()
	return nod.Drain(context.WithoutCancel(ctx))
}
