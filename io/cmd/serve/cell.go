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
	"guavarail/io/limit"
	"guavarail/io/lines"
)

// cleanupTime is the part of the shutdown timeout that is reserved for the clean-up
// after the wait for requests in flight.
const cleanupTime = time.Second

// serveCell runs a VM of a cell until ctx ends, and then shuts it down: it transfers
// the leadership and waits for the requests in flight. data is the content of the
// settings file.
func serveCell(ctx context.Context, env shell.Env, file string, data []byte, attach Attach) error {
	// A SIGHUP ends a process that does not handle it, so it is handled from before the
	// start until the end of the shutdown.
	hups := make(chan os.Signal, 1)
	signal.Notify(hups, syscall.SIGHUP)
	defer signal.Stop(hups)
	set, err := config.ParseCell(file, data)
	if err != nil {
		return err
	}
	limit.BoundHeap(set.VMMemoryMB())
	if set.MemoryMB() > 0 {
		limit.RelaxCollector(set.MemoryMB())
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
	detach, err := attach(vm, log.Named("front"))
	if err != nil {
		return err
	}
	logServing(log, set.Listen().Callers(), set.Listen().API(), set.Listen().Peers())
	reloadUntilDone(ctx, hups, file, vm, log)
	drainCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), max(cleanupTime, set.ShutdownTimeout()-cleanupTime))
	defer cancel()
	vm.TransferLeadership(drainCtx)
	detach(drainCtx)
	log.Info("stopped")
	return nil
}

// reloadUntilDone reloads the settings at each signal on hups and returns when ctx ends.
func reloadUntilDone(ctx context.Context, hups <-chan os.Signal, file string, vm *cell.VM, log hclog.Logger) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hups:
			reload(file, vm, log)
		}
	}
}

// reload reads the settings file and applies the settings that may change while the
// VM runs. It changes nothing if the file is invalid.
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
