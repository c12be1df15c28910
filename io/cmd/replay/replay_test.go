package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"guavarail/io/cmd/shell"
	"guavarail/io/term"
)

// runReplay runs the command and returns its standard output, its standard error
// and the exit code.
func runReplay(args ...string) (string, string, int) {
	var out, err bytes.Buffer
	env := shell.Env{Streams: term.New(nil, &out, &err, false)}
	code := shell.Main(context.Background(), env, append([]string{"replay"}, args...), []shell.Command{New()})
	return out.String(), err.String(), code
}

// Guards against a regression of each recorded failure: a replay of its trace has to
// give the expected outcome, to violate no invariant, and to print the same when it
// is repeated.
func TestTracesHaveTheirOutcomes(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) < 8 {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			first, stderr, code := runReplay(name)
			if code != shell.ExitDone || !strings.HasPrefix(first, "guard\t") {
				t.Errorf("exit %d\n%s%s", code, first, stderr)
			}
			if again, stderr, code := runReplay(name); code != shell.ExitDone || again != first {
				t.Errorf("the second run differs, exit %d:\n%s%s%s", code, first, again, stderr)
			}
		})
	}
}

// Guards against a difference that a script cannot detect: the command has to print
// the outcome and the differences, and to return the exit code of a failure.
func TestDifferenceFailsTheCommand(t *testing.T) {
	buf, err := os.ReadFile("testdata/vmLoss.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "wrong.jsonl")
	wrong := strings.Replace(string(buf), `"finished":100`, `"finished":99`, 1)
	if err := os.WriteFile(file, []byte(wrong), 0o600); err != nil {
		t.Fatal(err)
	}
	out, stderr, code := runReplay(file, "--json", "--compare")
	var rep Report
	if err := json.Unmarshal([]byte(out), &rep); err != nil {
		t.Fatalf("%v in %s", err, out)
	}
	const want = "finished 100, expected 99"
	if code != shell.ExitFailed || len(rep.Rows) != 3 || !slices.Equal(rep.Differences, []string{want}) ||
		!strings.Contains(stderr, want) || !strings.Contains(stderr, "\nnext: correct the expect line") {
		t.Errorf("exit %d, %+v\n%s", code, rep, stderr)
	}
	if _, stderr, code := runReplay("testdata/missing.jsonl"); code != shell.ExitFailed || !strings.Contains(stderr, "next: correct the file") {
		t.Errorf("exit %d without a file, %s", code, stderr)
	}
}

// Guards against invalid lines of a trace that are ignored.
func TestBadLinesAreNamed(t *testing.T) {
	for _, text := range []string{
		"{\"event\":\"explode\"}", "{\"event\":\"cancel\",\"job_id\":1}", "nothing",
		"{\"event\":\"submit\",\"job\":\"Tray!\"}", "{\"atMs\":5,\"event\":\"centreOut\"}\n{\"atMs\":4,\"event\":\"centreIn\"}",
	} {
		_, err := Decode("test", strings.NewReader(text))
		var lne *LineError
		if !errors.As(err, &lne) {
			t.Errorf("%s: error %v, want a LineError", text, err)
		}
	}
}
