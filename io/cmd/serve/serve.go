// Package serve is the command "serve".
package serve

import (
	"context"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/hashicorp/go-hclog"

	"guavarail/io/cell"
	"guavarail/io/cmd/shell"
	"guavarail/io/config"
	"guavarail/io/limit"
	"guavarail/io/node"
)

// Options of the command.
type Options struct {
	Settings string `arg:"-s,--settings,required" help:"settings file"`
}

// Attach starts the servers for callers, workers and operators on a VM of a cell.
// The returned function stops them; it waits for the requests in flight until its
// context ends.
type Attach func(vm *cell.VM, log hclog.Logger) (func(ctx context.Context), error)

// New returns the command. attach is only used for a VM of a cell.
func New(attach Attach) shell.Command {
	return shell.New("serve", "Run one VM of the system until it is told to stop.",
		"guavarail serve --settings /etc/guavarail.ini",
		func(ctx context.Context, env shell.Env, opt Options) error { return Run(ctx, env, opt, attach) })
}

// Run runs the VM until ctx ends, and then shuts it down: it transfers the leadership
// and waits for the requests in flight.
func Run(ctx context.Context, env shell.Env, opt Options, attach Attach) error {
	// Without this, the first line after the end of the log's reader ends the process.
	signal.Ignore(syscall.SIGPIPE)
	defer signal.Reset(syscall.SIGPIPE)
	data, err := os.ReadFile(opt.Settings)
	if err == nil && config.IsCell(data) {
		return serveCell(ctx, env, opt.Settings, data, attach)
	}
	set, err := config.Load(opt.Settings)
	if err != nil {
		return err
	}
	limit.BoundHeap(set.Limits().VMMemoryMB())
	log := hclog.New(&hclog.LoggerOptions{
		Name: string(set.Name()), Level: hclog.LevelFromString(set.LogLevel()), Output: env.Streams.Err(),
	})
	nod, stop, err := node.New(set, log)
	if err != nil {
		return err
	}
	defer stop()
	logServing(log, set.Listen().Callers(), set.Listen().API(), set.Listen().Peers())
	<-ctx.Done()
	return nod.Drain(context.WithoutCancel(ctx))
}

// logServing logs the addresses on which a VM listens, as far as it has them.
func logServing(log hclog.Logger, callers, api, peers netip.AddrPort) {
	var args []any
	for _, lis := range []struct {
		name    string
		address netip.AddrPort
	}{{"callers", callers}, {"api", api}, {"peers", peers}} {
		if lis.address.IsValid() {
			args = append(args, lis.name, lis.address)
		}
	}
	log.Info("serving", args...)
}
