package slots

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and fixed numbers of runs and steps for the property
// tests. Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, val := range map[string]string{"rapid.seed": "20260", "rapid.checks": "150", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, val); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
