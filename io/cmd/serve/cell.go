package serve

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/cell"
	"guavarail/io/cmd/shell"
	"guavarail/io/config"
)

// stopMargin is left of the shutdown time for the clean-up.
const stopMargin = time.Second

// runCell serves a VM of a cell until ctx ends.
func runCell(ctx context.Context, env shell.Env, file string, data []byte, att Attach) error {
	set, err := config.ParseCell(file, data)
	if err != nil {
		return err
	}
	log := hclog.New(&hclog.LoggerOptions{
		Name: string(set.Name()), Level: hclog.LevelFromString(set.LogLevel()), Output: env.Streams.Out(),
	})
	vm, stop, err := cell.New(set, log)
	if err != nil {
		return err
	}
	defer stop()
	leave, err := att(vm, log.Named("front"))
	if err != nil {
		return err
	}
	log.Info("serving", "callers", set.Listen().Callers(), "api", set.Listen().API(), "peers", set.Listen().Peers())
	<-ctx.Done()
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(stopMargin, set.Grace()-stopMargin))
	defer cancel()
	vm.HandOver(drain)
	leave(drain)
	log.Info("stopped")
	return nil
}
