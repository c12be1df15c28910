// Package main is the program guavarail, a scheduler for latency-critical requests
// and batch tasks that share worker VMs. It assembles the commands, of which serve
// runs an entry VM, and runs the one that the arguments name.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"guavarail/io/cmd/shell"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := shell.Main(ctx, shell.System(), os.Args[1:], commands())
	stop()
	os.Exit(code)
}
