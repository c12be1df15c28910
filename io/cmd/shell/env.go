// Package shell has the code that all commands share: their environment, option
// parsing, output formats, exit codes and the advice to the operator after a failure.
package shell

import (
	"context"
	"crypto/rand"
	"os"
	"time"

	"guavarail/io/client"
	"guavarail/io/term"
)

// Env is the environment of a command.
type Env struct {
	Streams term.Streams
	// Getenv reads an environment variable.
	Getenv func(key string) string
	// Now reads the wall clock; it is only used for display.
	Now func() time.Time
	// NewID returns a new unique command ID.
	NewID func() string
	// Connect returns a client of the API and a function that closes its connections.
	Connect func(cfg client.Config) (*client.Client, func(), error)
}

// System returns the environment of the process.
func System() Env {
	return Env{
		Streams: term.System(),
		Getenv:  os.Getenv,
		Now:     time.Now,
		NewID:   rand.Text,
		Connect: client.New,
	}
}

// Show prints val as JSON if opt asks for it, and the table otherwise.
func (env Env) Show(opt Output, val any, ta *term.Table) error {
	if opt.JSON {
		return env.Streams.JSON(val)
	}
	return env.Streams.Table(ta)
}

// Output has the option for the output format. Commands embed it.
type Output struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

// Run executes a command with its parsed options.
type Run[O any] func(ctx context.Context, env Env, opt O) error
