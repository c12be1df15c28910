package shell

import (
	"context"
	"strings"

	"guavarail/io/term"
)

// Main runs the command that args start with and returns the exit code. After a
// failure, it prints the error and the advice to the operator.
func Main(ctx context.Context, env Env, args []string, cmds []Command) int {
	err := dispatch(ctx, env, args, cmds)
	if err == nil {
		return ExitDone
	}
	lines := strings.Split(program+": "+err.Error(), "\n")
	_ = env.Streams.ErrLines(append(lines, "next: "+advice(err))...)
	return exitCode(err)
}

// dispatch runs the matching command, or prints the list of commands.
func dispatch(ctx context.Context, env Env, args []string, cmds []Command) error {
	for _, cmd := range cmds {
		if cmd.matchesArgs(args) {
			return cmd.exec(ctx, env, args[len(cmd.words()):])
		}
	}
	if len(args) > 0 && (args[0] == "help" || args[0] == "--help" || args[0] == "-h") {
		return printOverview(env, cmds)
	}
	same := sameNoun(args, cmds)
	if len(same) > 0 && len(args) > 1 && (args[1] == "--help" || args[1] == "-h") {
		return printOverview(env, same)
	}
	return unknownCommand(args, same)
}

// unknownCommand returns the error for arguments that match no command. same has
// the commands whose first word is that of args.
func unknownCommand(args []string, same []Command) error {
	if len(args) == 0 {
		return &UsageError{problem: "no command is given", advice: "run " + program + " --help"}
	}
	if len(same) == 0 {
		return &UsageError{problem: "command " + args[0] + " is not known", advice: "run " + program + " --help"}
	}
	var names []string
	for _, cmd := range same {
		names = append(names, cmd.name)
	}
	return &UsageError{problem: args[0] + " needs one of its verbs", advice: "use one of: " + strings.Join(names, ", ")}
}

// sameNoun returns the commands with the first word of args.
func sameNoun(args []string, cmds []Command) []Command {
	var out []Command
	for _, cmd := range cmds {
		if len(args) > 0 && cmd.words()[0] == args[0] {
			out = append(out, cmd)
		}
	}
	return out
}

// printOverview prints the names and summaries of the commands.
func printOverview(env Env, cmds []Command) error {
	width := 0
	for _, cmd := range cmds {
		width = max(width, len(cmd.name))
	}
	lines := []string{"Usage: " + program + " COMMAND [OPTIONS]", ""}
	for _, cmd := range cmds {
		lines = append(lines, "  "+cmd.name+strings.Repeat(" ", width-len(cmd.name)+2)+cmd.summary)
	}
	return env.Streams.Lines(append(lines, "", "Run "+program+" COMMAND --help for options and an example.")...)
}

// NewKeyValueTable returns an empty table with the columns key and value.
func NewKeyValueTable() *term.Table { return term.NewTable("key", "value") }
