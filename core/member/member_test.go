package member

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavarail/core/model"
)

// detectBound is the time to detect a failed entry VM in section 7 of the
// design page.
const detectBound = 3 * time.Second

// Guards the detection bound: whenever one of up to 7 VMs stops, all others have
// declared it dead in time and no one else.
func TestDeadVMIsFoundInTime(t *testing.T) {
	for seed := range uint64(2000) {
		net := newSimNet(seed, 3+int(seed%5))
		net.run(3*time.Second + time.Duration(net.within(time.Second)))
		victim := net.rng.IntN(len(net.nodes))
		net.down(victim)
		net.run(detectBound)
		if on, about, state, found := net.wrong(); found {
			t.Fatalf("seed %d: %s holds %s for %s after vm%d stopped", seed, name(on), name(about), state, victim)
		}
	}
}

// Guards against a VM that is suspected although only one pair of VMs cannot
// talk, in one direction or both.
func TestCutPairIsBridgedByHelpers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newSimNet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 9).Draw(t, "vms"))
		net.run(4 * time.Second)
		net.changed = func(on int, ch Changed) {
			if ch.Now() != Alive {
				t.Fatalf("%s holds %s for %s", name(on), ch.VM(), ch.Now())
			}
		}
		net.cut[[2]int{0, 1}] = true
		net.cut[[2]int{1, 0}] = rapid.Bool().Draw(t, "both")
		net.run(20 * time.Second)
	})
}

// Guards against a VM that receives nothing and makes the others condemn each
// other.
func TestDeafVMCondemnsNoOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newSimNet(rapid.Uint64().Draw(t, "seed"), 7)
		net.run(4 * time.Second)
		for other := 1; other < 7; other++ {
			net.cut[[2]int{other, 0}] = true
		}
		net.changed = func(on int, ch Changed) {
			if on != 0 && ch.VM() != name(0) && ch.Now() == Dead {
				t.Fatalf("%s declares %s dead", name(on), ch.VM())
			}
		}
		net.run(20 * time.Second)
	})
}

// Guards convergence: after any mix of losses, late and repeated messages,
// cuts, crashes and restarts, the views of all VMs are the truth again.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		num := rapid.IntRange(2, 9).Draw(t, "vms")
		net := newSimNet(rapid.Uint64().Draw(t, "seed"), num)
		pick := rapid.IntRange(0, num-1)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			switch rapid.IntRange(0, 5).Draw(t, "fault") {
			case 0:
				net.cut[[2]int{pick.Draw(t, "from"), pick.Draw(t, "to")}] = true
			case 1:
				if at := pick.Draw(t, "down"); net.up[at] {
					net.down(at)
				}
			case 2:
				if at := pick.Draw(t, "restart"); !net.up[at] {
					net.start(at, 0)
				}
			case 3:
				part := pick.Draw(t, "part")
				for from := range num {
					for to := range num {
						net.cut[[2]int{from, to}] = (from < part) != (to < part)
					}
				}
			case 4:
				net.loss = rapid.IntRange(0, 60).Draw(t, "loss")
				net.repeat = rapid.IntRange(0, 50).Draw(t, "repeat")
				net.delay = time.Duration(rapid.IntRange(0, 1500).Draw(t, "delay")) * time.Millisecond
			case 5:
				clear(net.cut)
			}
			net.run(time.Duration(rapid.IntRange(0, 6000).Draw(t, "pause")) * time.Millisecond)
		}
		clear(net.cut)
		net.loss, net.repeat, net.delay = 0, 0, 5*time.Millisecond
		net.run(12 * time.Second)
		if on, about, state, found := net.wrong(); found {
			t.Fatalf("%s holds %s for %s, up: %v", name(on), name(about), state, net.up)
		}
	})
}

// Guards the three conditions of a verdict one by one: time to contradict, an
// own probe without answer, and a second VM that got no answer either.
func TestVerdictNeedsOwnAndOtherEvidence(t *testing.T) {
	for _, tc := range []struct {
		what             string
		peers            []model.VMID
		answers, witness bool
		want             State
	}{
		{"x answers its probes but was not told of the suspicion", []model.VMID{"b", "x"}, true, true, Suspect},
		{"x answers and there is no other VM", []model.VMID{"x"}, true, false, Suspect},
		{"no other VM confirms", []model.VMID{"b", "x"}, false, false, Suspect},
		{"another VM confirms", []model.VMID{"b", "x"}, false, true, Dead},
		{"there is no other VM", []model.VMID{"x"}, false, false, Dead},
	} {
		nod := New(Config{Self: "a", Peers: tc.peers})
		nod.Step(0, Received{From: "x", Message: NewMessage(Ping, 1, "", 0)})
		nod.believe(0, NewNews("x", Suspect, 0))
		nod.Step(0, Received{From: "b", Message: NewMessage(Ping, 1, "", 0)})
		for now := model.Instant(0); now < model.Instant(20*time.Second); now = now.Add(DefaultTick) {
			for _, eff := range nod.Step(now, Tick{}) {
				se, ok := eff.(Send)
				if !ok {
					continue
				}
				msg := se.Message()
				switch {
				case msg.Kind() == Ping && (se.To() == "b" || tc.answers):
					nod.Step(now, Received{From: se.To(), Message: NewMessage(Ack, msg.Seq(), "", 0)})
				case msg.Kind() == Ask && tc.witness:
					nod.Step(now, Received{From: "b", Message: NewMessage(Nack, msg.Seq(), "x", 0)})
				}
			}
		}
		if got := nod.State("x"); got != tc.want {
			t.Errorf("%s: x is %s, want %s", tc.what, got, tc.want)
		}
	}
}

// Guards against a VM that stood still past all time-outs and then declares
// the others dead at once.
func TestFrozenVMDoesNotCondemn(t *testing.T) {
	nod := New(Config{Self: "a", Peers: []model.VMID{"b"}})
	nod.Step(0, Received{From: "b", Message: NewMessage(Ping, 1, "", 0)})
	nod.Step(0, Tick{})
	for _, eff := range nod.Step(model.Instant(time.Hour), Tick{}) {
		if ch, ok := eff.(Changed); ok {
			t.Errorf("%s is %s", ch.VM(), ch.Now())
		}
	}
}

// Guards determinism: the same seed and inputs give the same messages.
func TestSameSeedSameMessages(t *testing.T) {
	trace := func() (out []Message) {
		net := newSimNet(5, 7)
		net.sent = func(_ int, msg Message) { out = append(out, msg) }
		net.run(5 * time.Second)
		return out
	}
	one, two := trace(), trace()
	if len(one) != len(two) {
		t.Fatalf("%d and %d messages", len(one), len(two))
	}
	for at := range one {
		if one[at].Kind() != two[at].Kind() || one[at].Seq() != two[at].Seq() || one[at].Target() != two[at].Target() {
			t.Fatalf("message %d differs", at)
		}
	}
}
