// Package main is the program guavarail. It assembles the commands and runs the
// one that the arguments name.
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
