package replay

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards each recorded failure: the trace breaks no invariant and has the
// outcome that it expects.
func TestTracesHaveTheirOutcomes(t *testing.T) {
	files, err := filepath.Glob("testdata/*.jsonl")
	if err != nil || len(files) < 8 {
		t.Fatalf("%d traces, %v", len(files), err)
	}
	for _, name := range files {
		t.Run(filepath.Base(name), func(t *testing.T) {
			var out bytes.Buffer
			dep := Deps{Open: func(name string) (io.ReadCloser, error) { return os.Open(name) }, Out: &out}
			if err := Run(Options{File: name}, dep); err != nil {
				t.Errorf("%v\n%s", err, out.String())
			}
			first := out.String()
			out.Reset()
			if err := Run(Options{File: name}, dep); err != nil || out.String() != first {
				t.Errorf("the second run differs:\n%s%s", first, out.String())
			}
		})
	}
}

// Guards against a trace that is accepted in part.
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
