package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"guavarail/io/rest"
)

// isRepaired reports whether, according to v, the repair of the named VM is complete:
// the configuration with the given number or a later one is in effect, no problems are
// listed, and the VM is a voter of the fleet group, the replication group of the
// configuration.
func isRepaired(v *vm, name string, number uint64) bool {
	sta, ok := get[rest.Status](v, rest.PathStatus)
	return ok && sta.InEffect.Number >= number && len(sta.Problems) == 0 &&
		len(sta.Groups) > 0 && slices.Contains(sta.Groups[0].Voters, name)
}

// Guards against an accepted command that is lost when a VM loses its disk and is
// replaced, and a second VM is lost right after the repair (F11, F12); and against a
// VM with an empty disk that votes as if it still had its log.
func TestSecondLossAfterRepair(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	one, two, three := clu.vms[0], clu.vms[1], clu.vms[2]
	clu.mustRun(one, "preset", "create", "peak")
	clu.mustRun(one, "preset", "switch", "peak")

	clu.kill(two)
	if err := os.RemoveAll(filepath.Join(clu.dir, two.name)); err != nil {
		t.Fatal(err)
	}
	clu.start(two)
	// While the third VM is down, only the first one may vote, which is no majority:
	// the VM with the empty disk must not vote.
	clu.kill(three)
	if out, code := clu.run(one, "preset", "create", "storm", "--number", "4"); code == 0 {
		t.Fatalf("a VM with an empty disk voted: %s", out)
	}
	clu.start(three)
	clu.waitReady(three)

	// The command without a majority may have been accepted later, so the number
	// of the promotion to voter is computed from the replacement's number: it is
	// the next one.
	var promoted uint64
	out := clu.mustRun(one, "vm", "replace", two.name)
	if _, err := fmt.Sscanf(out, "replaceVM "+two.name+" is configuration %d;", &promoted); err != nil {
		t.Fatalf("number not found in %q: %v", out, err)
	}
	promoted++
	clu.waitUntil("the VM with the new disk is a voter", func() bool {
		return isRepaired(one, two.name, promoted) && isRepaired(three, two.name, promoted)
	})
	clu.mustRun(one, "preset", "create", "calm")
	clu.kill(one)
	clu.mustRun(three, "preset", "create", "after")
	clu.waitUntil("the repaired VM has the newest configuration", func() bool {
		num, pre, ok := configurationOf(two)
		return ok && pre == "peak" && num >= promoted+2
	})
	for _, name := range []string{"peak", "calm", "after"} {
		clu.mustRun(two, "preset", "show", name)
	}
}
