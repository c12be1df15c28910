package config

import (
	"errors"
	"flag"
	"os"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// TestMain sets a fixed seed for rapid unless one is given, so that every run
// tests the same files.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := flag.Set("rapid.seed", "4711"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a file that makes the parser panic or fail without a list of
// faults: any sequence of lines gives either settings, or faults that each have a
// line of the file, or line 0, and the allowed values.
func TestAnyLinesGiveFaultsWithLines(t *testing.T) {
	parts := append(strings.Split(validFile, "\n"), "[", "[]", "[vm] x", "[vms.]", "[DEFAULT]", "=", "a=", "`a", "a = `b", `a = """b`, `"a" = b`,
		`a = "b`, "a = b \\", "name = %(centre)s", "\ufeff[vm]", "a\x00 = b", "  [vm]", "region = riga # a", ";", "disk = yes", "[limits]", "drainSeconds = 1")
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOfN(rapid.SampledFrom(parts), 0, 40).Draw(t, "lines")
		_, err := Parse("a.ini", []byte(strings.Join(lines, "\n")))
		var fae *FaultsError
		if err != nil && !errors.As(err, &fae) {
			t.Fatalf("error %v, want faults", err)
		}
		if err == nil {
			return
		}
		for _, fa := range fae.Faults() {
			if fa.Line() < 0 || fa.Line() > len(lines) || fa.Allowed() == "" {
				t.Fatalf("fault %v of %d lines", fa, len(lines))
			}
		}
	})
}
