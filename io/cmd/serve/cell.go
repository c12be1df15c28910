package serve

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/cell"
	"guavarail/io/cmd/shell"
	"guavarail/io/config"
	"guavarail/io/lines"
)

// stopMargin is left of the shutdown time for the clean-up.
const stopMargin = time.Second

// runCell serves a VM of a cell until ctx ends.
func runCell(ctx context.Context, env shell.Env, file string, data []byte, att Attach) error {
	set, err := config.ParseCell(file, data)
	if err != nil {
		return err
	}
	out, flush := lines.New(env.Streams.Out())
	defer flush(context.WithoutCancel(ctx))
	log := hclog.New(&hclog.LoggerOptions{
		Name: string(set.Name()), Level: hclog.LevelFromString(set.LogLevel()), Output: out,
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
	waitReloading(ctx, file, vm, log)
	drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(stopMargin, set.ShutdownTimeout()-stopMargin))
	defer cancel()
	vm.TransferLeadership(drain)
	leave(drain)
	log.Info("stopped")
	return nil
}

// waitReloading reads the settings again at each SIGHUP until ctx ends.
func waitReloading(ctx context.Context, file string, vm *cell.VM, log hclog.Logger) {
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			reload(file, vm, log)
		}
	}
}

// reload puts the settings that may change while the VM runs in effect.
func reload(file string, vm *cell.VM, log hclog.Logger) {
	data, err := os.ReadFile(file)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	set, err := config.ParseCell(file, data)
	if err != nil {
		log.Error("settings not reloaded", "error", err)
		return
	}
	vm.Reload(set)
	log.SetLevel(hclog.LevelFromString(set.LogLevel()))
	log.Info("settings reloaded", "seeds", set.Seeds())
}
