package slots

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the steps of the fuzz tests unless the command
// line gives others.
func TestMain(m *testing.M) {
	for name, val := range map[string]string{"rapid.seed": "20260", "rapid.checks": "150", "rapid.steps": "150", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, val); err != nil {
			panic(err)
		}
	}
	flag.Parse()
	os.Exit(m.Run())
}
