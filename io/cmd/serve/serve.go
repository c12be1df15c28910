// Package serve is the command "serve".
package serve

import (
	"context"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/cmd/shell"
	"guavarail/io/config"
	"guavarail/io/node"
)

// Options of the command.
type Options struct {
	Settings string `arg:"-s,--settings,required" help:"settings file"`
}

// New returns the command.
func New() shell.Command {
	return shell.New("serve", "Run one VM of the system until it is told to stop.",
		"guavarail serve --settings /etc/guavarail.ini", Run)
}

// Run serves until ctx ends, which starts a planned shutdown.
func Run(ctx context.Context, env shell.Env, opt Options) error {
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
