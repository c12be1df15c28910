package shell

import (
	"bytes"
	"context"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// program is the name in usage texts.
const program = "guavarail"

// Command is one command of the program. Its name is one or two words: a noun, in most
// cases followed by a verb.
type Command struct {
	name    string
	summary string
	example string
	// exec parses the arguments after the name and runs the command.
	exec func(ctx context.Context, env Env, args []string) error
}

// New returns a command that parses its options into an O, a struct with go-arg
// tags, and passes them to run.
func New[O any](name, summary, example string, run Run[O]) Command {
	cmd := Command{name: name, summary: summary, example: example}
	cmd.exec = func(ctx context.Context, env Env, args []string) error {
		var opt O
		par, err := arg.NewParser(arg.Config{Program: program + " " + name, IgnoreEnv: true}, &opt)
		if err != nil {
			return errors.Annotate(err, "options of "+name)
		}
		err = par.Parse(args)
		if errors.Is(err, arg.ErrHelp) {
			return cmd.printHelp(env, par)
		}
		if err != nil {
			return &UsageError{problem: err.Error(), advice: "run " + program + " " + name + " --help"}
		}
		return run(ctx, env, opt)
	}
	return cmd
}

// Name returns the words of the command, separated by a space.
func (cmd Command) Name() string { return cmd.name }

// Summary describes the command in one line.
func (cmd Command) Summary() string { return cmd.summary }

func (cmd Command) printHelp(env Env, par *arg.Parser) error {
	var buf bytes.Buffer
	par.WriteHelp(&buf)
	lines := append([]string{cmd.summary, ""}, strings.Split(strings.TrimRight(buf.String(), "\n"), "\n")...)
	lines = append(lines, "", "Example:", "  "+cmd.example, "",
		"Exit codes: 0 done, 1 failed, 2 usage, 3 rejected by the system, 4 not reachable")
	return env.Streams.Lines(lines...)
}

func (cmd Command) words() []string { return strings.Fields(cmd.name) }

// matchesArgs reports whether args start with the words of the command's name.
func (cmd Command) matchesArgs(args []string) bool {
	words := cmd.words()
	if len(args) < len(words) {
		return false
	}
	for i, word := range words {
		if args[i] != word {
			return false
		}
	}
	return true
}
