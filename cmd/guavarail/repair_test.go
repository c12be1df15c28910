package main

import (
	"os"
	"path/filepath"
	"testing"

	"guavarail/io/rest"
)

// role returns the role of a VM as another one knows it.
func role(v *vm, name string) string {
	lis, _ := get[rest.VMList](v, rest.PathVMs)
	for _, row := range lis.VMs {
		if row.Name == name {
			return row.Role
		}
	}
	return ""
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

	clu.must(one, "vm", "replace", two.name)
	clu.until("the new disk votes", func() bool { return role(one, two.name) == "voter" })
	clu.must(one, "preset", "create", "calm")
	clu.kill(one)
	out := clu.must(three, "preset", "create", "after")
	clu.until("the two remaining VMs agree", func() bool {
		num, pre, ok := held(two)
		return ok && pre == "peak" && num >= 7
	})
	for _, name := range []string{"peak", "calm", "after"} {
		clu.must(two, "preset", "show", name)
	}
	t.Log(out)
}
