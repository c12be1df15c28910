package main

import (
	"syscall"
	"testing"

	"guavarail/io/rest"
)

// held returns the configuration number that a VM acts on.
func held(v *vm) (uint64, string, bool) {
	sta, ok := get[rest.Status](v, rest.PathStatus)
	if !ok || !sta.Ready {
		return 0, "", false
	}
	return sta.InEffect.Number, sta.InEffect.Preset, true
}

// Guards P10: an accepted switch of preset is lost or reverted when each VM is
// killed and restarted in turn, when one is frozen past every lease, and when
// all are killed at once.
func TestP10SwitchNeverReverts(t *testing.T) {
	clu := newCluster(t, "musanze-1", "rubavu-1", "nyabihu-1")
	first := clu.vms[0]
	clu.must(first, "preset", "create", "peak", "--batch-share", "20")
	clu.must(first, "preset", "switch", "peak")
	inForce := func(v *vm) bool {
		num, pre, ok := held(v)
		if ok && (num < 3 || pre != "peak") {
			t.Fatalf("VM %s acts on configuration %d with preset %s after the switch was in effect", v.name, num, pre)
		}
		return ok
	}
	for _, v := range clu.vms {
		clu.until("the switch is in effect on "+v.name, func() bool {
			_, pre, ok := held(v)
			return ok && pre == "peak"
		})
	}
	for _, v := range clu.vms {
		clu.kill(v)
		for _, o := range clu.vms {
			if o != v {
				clu.until("the others serve without "+v.name, func() bool { return inForce(o) })
			}
		}
		clu.start(v)
		clu.until(v.name+" is back", func() bool { return inForce(v) })
	}
	frozen := clu.vms[1]
	clu.signal(frozen, syscall.SIGSTOP)
	clu.must(first, "preset", "create", "storm")
	clu.must(first, "preset", "switch", "storm")
	clu.signal(frozen, syscall.SIGCONT)
	clu.until("the frozen VM takes over the newer preset", func() bool {
		_, pre, ok := held(frozen)
		return ok && pre == "storm"
	})
	for _, v := range clu.vms {
		clu.kill(v)
	}
	for _, v := range clu.vms {
		clu.start(v)
	}
	for _, v := range clu.vms {
		clu.until(v.name+" is back with the newest preset", func() bool {
			num, pre, ok := held(v)
			if ok && (num < 5 || pre != "storm") {
				t.Fatalf("VM %s acts on configuration %d with preset %s after a restart", v.name, num, pre)
			}
			return ok
		})
	}
}

// Guards the operators' commands: of two commands with one number both win, or
// a resend is carried out twice or gets another answer.
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
	win, lose := one, two
	if _, code := clu.run(clu.vms[2], one...); code != 0 {
		win, lose = two, one
	}
	for _, v := range clu.vms {
		clu.kill(v)
		clu.start(v)
		clu.waitReady(v)
		clu.must(v, win...)
		if out, code := clu.run(v, lose...); code != 3 {
			t.Fatalf("the losing command ends with code %d: %s", code, out)
		}
	}
	if num, _, _ := held(clu.vms[0]); num != 2 {
		t.Errorf("configuration number is %d after resends, want 2", num)
	}
}
