package main

import (
	"syscall"
	"testing"

	"guavarail/io/rest"
)

// configurationOf returns the number and the preset of the configuration in effect
// on a VM, and whether the VM is ready. All are zero if it isn't ready.
func configurationOf(v *vm) (uint64, string, bool) {
	sta, ok := get[rest.Status](v, rest.PathStatus)
	if !ok || !sta.Ready {
		return 0, "", false
	}
	return sta.InEffect.Number, sta.InEffect.Preset, true
}

// Guards against an accepted preset switch that is lost or reverted (P10) when each VM
// is killed and restarted in turn, when one is frozen until all its leases have
// expired, and when all are killed at the same time.
func TestP10SwitchNeverReverts(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	first := clu.vms[0]
	clu.mustRun(first, "preset", "create", "peak", "--batch-share", "20")
	clu.mustRun(first, "preset", "switch", "peak")
	// stillInEffect reports whether v is ready. It fails the test if v is ready and
	// the switch, which is configuration 3, isn't in effect on it.
	stillInEffect := func(v *vm) bool {
		num, pre, ok := configurationOf(v)
		if ok && (num < 3 || pre != "peak") {
			t.Fatalf("VM %s has configuration %d with preset %s after the switch was in effect", v.name, num, pre)
		}
		return ok
	}
	for _, v := range clu.vms {
		clu.waitUntil("the switch is in effect on "+v.name, func() bool {
			_, pre, ok := configurationOf(v)
			return ok && pre == "peak"
		})
	}
	for _, v := range clu.vms {
		clu.kill(v)
		for _, o := range clu.vms {
			if o != v {
				clu.waitUntil("the other VMs are ready without "+v.name, func() bool { return stillInEffect(o) })
			}
		}
		clu.start(v)
		clu.waitUntil(v.name+" is back", func() bool { return stillInEffect(v) })
	}
	frozen := clu.vms[1]
	clu.signal(frozen, syscall.SIGSTOP)
	clu.mustRun(first, "preset", "create", "storm")
	clu.mustRun(first, "preset", "switch", "storm")
	clu.signal(frozen, syscall.SIGCONT)
	clu.waitUntil("the newer preset is in effect on the frozen VM", func() bool {
		_, pre, ok := configurationOf(frozen)
		return ok && pre == "storm"
	})
	for _, v := range clu.vms {
		clu.kill(v)
	}
	for _, v := range clu.vms {
		clu.start(v)
	}
	for _, v := range clu.vms {
		clu.waitUntil(v.name+" is back with the newest preset", func() bool {
			num, pre, ok := configurationOf(v)
			if ok && (num < 5 || pre != "storm") {
				t.Fatalf("VM %s has configuration %d with preset %s after a restart", v.name, num, pre)
			}
			return ok
		})
	}
}

// Guards against two operator commands with the same configuration number that are
// both accepted, and against a resent command that is applied twice or gets another
// result than the first time.
func TestRacingOperators(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	one := []string{"preset", "create", "peak", "--number", "2", "--command", "c-one", "--operator", "one"}
	two := []string{"preset", "create", "storm", "--number", "2", "--command", "c-two", "--operator", "two"}
	ends := make(chan int, 2)
	for i, args := range [][]string{one, two} {
		go func() {
			_, code := clu.run(clu.vms[i], args...)
			ends <- code
		}()
	}
	if sum := <-ends + <-ends; sum != 3 {
		t.Fatalf("exit codes add up to %d, want one accepted (0) and one rejected (3)", sum)
	}
	accepted, rejected := one, two
	if _, code := clu.run(clu.vms[2], one...); code != 0 {
		accepted, rejected = two, one
	}
	for _, v := range clu.vms {
		clu.kill(v)
		clu.start(v)
		clu.waitReady(v)
		clu.mustRun(v, accepted...)
		if out, code := clu.run(v, rejected...); code != 3 {
			t.Fatalf("the rejected command exits with code %d when resent: %s", code, out)
		}
	}
	if num, _, _ := configurationOf(clu.vms[0]); num != 2 {
		t.Errorf("configuration number is %d after the resends, want 2", num)
	}
}
