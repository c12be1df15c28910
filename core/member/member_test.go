package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// detectionLimit is the time within which all other VMs must declare a failed VM dead,
// such as an entry VM, which accepts requests of callers.
const detectionLimit = 3 * time.Second

// Guards against a failed VM that is detected too late, and against a running one
// declared dead with it: when one of 3 to 7 VMs stops at any time, all others must see
// exactly this VM as dead after detectionLimit.
func TestDeadVMIsFoundInTime(t *testing.T) {
	for seed := range uint64(2000) {
		net := newSimNet(seed, 3+int(seed%5))
		net.run(3*time.Second + time.Duration(net.randomUpTo(time.Second)))
		victim := net.rng.IntN(len(net.detectors))
		net.stop(victim)
		net.run(detectionLimit)
		if observer, subject, state, found := net.mismatch(); found {
			t.Fatalf("seed %d: %s sees %s as %s after vm%d stopped", seed, vmName(observer), vmName(subject), state, victim)
		}
	}
}

// Guards against false suspicions: if only the link between two VMs fails, in one
// direction or both, the probes of helpers must succeed, so that all VMs see both as
// alive.
func TestIndirectProbesCoverBrokenLink(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newSimNet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 9).Draw(t, "vms"))
		net.run(4 * time.Second)
		net.changed = func(observer int, ch Changed) {
			if ch.After() != Alive {
				t.Fatalf("%s sees %s as %s", vmName(observer), ch.VM(), ch.After())
			}
		}
		net.cut[[2]int{0, 1}] = true
		net.cut[[2]int{1, 0}] = rapid.Bool().Draw(t, "both")
		net.run(20 * time.Second)
	})
}

// Guards against running VMs declared dead because of a VM that can send but not
// receive. All its probes fail and it spreads suspicions, and the others must not
// declare each other dead because of them.
func TestVMWithoutInboundMessagesCausesNoFalseDeath(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newSimNet(rapid.Uint64().Draw(t, "seed"), 7)
		net.run(4 * time.Second)
		for other := 1; other < 7; other++ {
			net.cut[[2]int{other, 0}] = true
		}
		net.changed = func(observer int, ch Changed) {
			if observer != 0 && ch.VM() != vmName(0) && ch.After() == Dead {
				t.Fatalf("%s declares %s dead", vmName(observer), ch.VM())
			}
		}
		net.run(20 * time.Second)
	})
}

// Guards against VMs that see another VM in a wrong state permanently: within 12 s after
// the end of message loss, long delays, duplicates, partitions, crashes and restarts, all
// running VMs see all others in their correct state.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(2, 9).Draw(t, "vms")
		net := newSimNet(rapid.Uint64().Draw(t, "seed"), vms)
		pick := rapid.IntRange(0, vms-1)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				// One direction of one link fails.
				net.cut[[2]int{pick.Draw(t, "from"), pick.Draw(t, "to")}] = true
			case 1:
				if num := pick.Draw(t, "down"); net.up[num] {
					net.stop(num)
				}
			case 2:
				if num := pick.Draw(t, "restart"); !net.up[num] {
					net.start(num, 0)
				}
			case 3:
				// A partition separates the VMs below split from the others.
				split := pick.Draw(t, "part")
				for from := range vms {
					for to := range vms {
						net.cut[[2]int{from, to}] = (from < split) != (to < split)
					}
				}
			case 4:
				net.loss = rapid.IntRange(0, 60).Draw(t, "loss")
				net.duplicate = rapid.IntRange(0, 50).Draw(t, "repeat")
				net.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			case 5:
				clear(net.cut)
			}
			net.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
		}
		clear(net.cut)
		net.loss, net.duplicate, net.delay = 0, 0, 5*time.Millisecond
		net.run(12 * time.Second)
		if observer, subject, state, found := net.mismatch(); found {
			t.Fatalf("%s sees %s as %s, up: %v", vmName(observer), vmName(subject), state, net.up)
		}
	})
}

// Guards against a VM declared dead on too little evidence. VM a suspects VM x, and
// the time to refute that has passed. The cases vary the other two conditions: whether
// a's own probes of x are answered, and whether VM b confirms that x does not answer.
func TestDeathNeedsOwnAndConfirmingProbe(t *testing.T) {
	for _, tc := range []struct {
		what  string
		peers []model.VMID
		// answers is true if x answers the probes of a, confirms if b answers
		// each PingRequest with a Nack.
		answers, confirms bool
		want              State
	}{
		{"x answers its probes but did not receive the suspicion", []model.VMID{"b", "x"}, true, true, Suspect},
		{"x answers and there is no other VM", []model.VMID{"x"}, true, false, Suspect},
		{"no other VM confirms", []model.VMID{"b", "x"}, false, false, Suspect},
		{"another VM confirms", []model.VMID{"b", "x"}, false, true, Dead},
		{"there is no other VM", []model.VMID{"x"}, false, false, Dead},
	} {
		det := New(Config{Self: "a", Peers: tc.peers})
		det.Step(0, Received{From: "x", Message: NewMessage(Ping, 1, "", 0)})
		det.merge(0, NewUpdate("x", Suspect, 0))
		det.Step(0, Received{From: "b", Message: NewMessage(Ping, 1, "", 0)})
		for now := model.Instant(0); now < model.Instant(20*time.Second); now = now.Add(DefaultTick) {
			for _, eff := range det.Step(now, Tick{}) {
				se, ok := eff.(Send)
				if !ok {
					continue
				}
				msg := se.Message()
				switch {
				case msg.Kind() == Ping && (se.To() == "b" || tc.answers):
					det.Step(now, Received{From: se.To(), Message: NewMessage(Ack, msg.Seq(), "", 0)})
				case msg.Kind() == PingRequest && tc.confirms:
					det.Step(now, Received{From: "b", Message: NewMessage(Nack, msg.Seq(), "x", 0)})
				}
			}
		}
		if got := det.State("x"); got != tc.want {
			t.Errorf("%s: x is %s, want %s", tc.what, got, tc.want)
		}
	}
}

// Guards against a VM that was paused for longer than all timeouts, here an hour, and
// then declares the others suspect or dead at its next tick.
func TestPausedVMDeclaresNoOneDead(t *testing.T) {
	det := New(Config{Self: "a", Peers: []model.VMID{"b"}})
	det.Step(0, Received{From: "b", Message: NewMessage(Ping, 1, "", 0)})
	det.Step(0, Tick{})
	for _, eff := range det.Step(model.Instant(time.Hour), Tick{}) {
		if ch, ok := eff.(Changed); ok {
			t.Errorf("%s is %s", ch.VM(), ch.After())
		}
	}
}

// Guards against nondeterminism: the same seed and inputs give the same messages.
func TestSameSeedSameMessages(t *testing.T) {
	sentMessages := func() (out []Message) {
		net := newSimNet(5, 7)
		net.sent = func(_ int, msg Message) { out = append(out, msg) }
		net.run(5 * time.Second)
		return out
	}
	one, two := sentMessages(), sentMessages()
	if len(one) != len(two) {
		t.Fatalf("%d and %d messages", len(one), len(two))
	}
	for idx := range one {
		if one[idx].Kind() != two[idx].Kind() || one[idx].Seq() != two[idx].Seq() || one[idx].Target() != two[idx].Target() {
			t.Fatalf("message %d differs", idx)
		}
	}
}
