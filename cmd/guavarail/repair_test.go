package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"guavarail/io/rest"
)

// repaired reports whether the repair of a VM is complete: the configuration
// has its new disk and the fleet group counts it as a voter again.
func repaired(v *vm, name string, number uint64) bool {
	sta, ok := get[rest.Status](v, rest.PathStatus)
	return ok && sta.InEffect.Number >= number && len(sta.Problems) == 0 &&
		len(sta.Groups) > 0 && slices.Contains(sta.Groups[0].Voters, name)
}

// Guards F11 and F12: an accepted command is lost when a VM loses its disk, is
// replaced, and a second VM is lost right after; or a VM with an empty disk
// votes as its old self.
func TestSecondLossAfterRepair(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	one, two, three := clu.vms[0], clu.vms[1], clu.vms[2]
	clu.must(one, "preset", "create", "peak")
	clu.must(one, "preset", "switch", "peak")

	clu.kill(two)
	if err := os.RemoveAll(filepath.Join(clu.dir, two.name)); err != nil {
		t.Fatal(err)
	}
	clu.start(two)
	// With the third VM gone, the empty disk must not make a majority.
	clu.kill(three)
	if out, code := clu.run(one, "preset", "create", "storm", "--number", "4"); code == 0 {
		t.Fatalf("a VM with an empty disk voted: %s", out)
	}
	clu.start(three)
	clu.waitReady(three)

	// The command that got no majority may have been accepted later, so the
	// number of the promotion is the one after that of the replacement.
	var promoted uint64
	out := clu.must(one, "vm", "replace", two.name)
	if _, err := fmt.Sscanf(out, "replaceVM "+two.name+" is configuration %d;", &promoted); err != nil {
		t.Fatalf("number not found in %q: %v", out, err)
	}
	promoted++
	clu.until("the new disk votes", func() bool {
		return repaired(one, two.name, promoted) && repaired(three, two.name, promoted)
	})
	clu.must(one, "preset", "create", "calm")
	clu.kill(one)
	clu.must(three, "preset", "create", "after")
	clu.until("the two remaining VMs agree", func() bool {
		num, pre, ok := held(two)
		return ok && pre == "peak" && num >= promoted+2
	})
	for _, name := range []string{"peak", "calm", "after"} {
		clu.must(two, "preset", "show", name)
	}
}
