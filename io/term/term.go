// Package term prints the output of commands: tables, which are aligned on a
// terminal and tab-separated otherwise, lines of text, or JSON.
package term

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
	"github.com/mattn/go-isatty"
)

// Streams holds the standard streams of a command. The zero value has no input
// and discards all output.
type Streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
	// terminal is set if out is a terminal.
	terminal bool
}

// New returns the given streams. Each may be nil. terminal is true if out is a
// terminal.
func New(in io.Reader, out, err io.Writer, terminal bool) Streams {
	return Streams{in: in, out: out, err: err, terminal: terminal}
}

// System returns the standard streams of the process.
func System() Streams {
	return New(os.Stdin, os.Stdout, os.Stderr, isatty.IsTerminal(os.Stdout.Fd()))
}

// In returns the standard input.
func (st Streams) In() io.Reader {
	if st.in == nil {
		return strings.NewReader("")
	}
	return st.in
}

// Out returns the standard output.
func (st Streams) Out() io.Writer { return orDiscard(st.out) }

// Err returns the standard error.
func (st Streams) Err() io.Writer { return orDiscard(st.err) }

// Terminal reports whether the standard output is a terminal.
func (st Streams) Terminal() bool { return st.terminal }

func orDiscard(out io.Writer) io.Writer {
	if out == nil {
		return io.Discard
	}
	return out
}

// JSON prints a value as JSON to the standard output, indented on a terminal.
func (st Streams) JSON(val any) error {
	enc := json.NewEncoder(st.Out())
	if st.terminal {
		enc.SetIndent("", "  ")
	}
	return errors.Trace(enc.Encode(val))
}

// Lines prints lines of text to the standard output.
func (st Streams) Lines(lines ...string) error { return write(st.Out(), printableLines(lines)) }

// ErrLines prints lines of text to the standard error, so that they are not part
// of piped output.
func (st Streams) ErrLines(lines ...string) error { return write(st.Err(), printableLines(lines)) }

// writeLines prints lines that are already printable to the standard output.
func (st Streams) writeLines(lines []string) error { return write(st.Out(), lines) }

func printableLines(lines []string) []string {
	out := make([]string, len(lines))
	for i, line := range lines {
		out[i] = printable(line)
	}
	return out
}

func write(out io.Writer, lines []string) error {
	buf := bufio.NewWriter(out)
	for _, line := range lines {
		_, _ = buf.WriteString(line + "\n")
	}
	return errors.Trace(buf.Flush())
}

// printable replaces control characters and invalid UTF-8 with spaces, so that
// text from other sources cannot send control sequences to the terminal or split a
// row.
func printable(text string) string {
	return strings.Map(func(ch rune) rune {
		if ch == utf8.RuneError || unicode.IsControl(ch) {
			return ' '
		}
		return ch
	}, text)
}
