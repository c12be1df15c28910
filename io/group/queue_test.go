package group

import (
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"guavarail/core/admit"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/host"
)

// startLeader starts a group of three voters on a clock that only moves when the test
// moves it, and returns the leader, the others and the clock.
func startLeader(t *testing.T) (testRef, []testRef, *atomic.Int64) {
	t.Helper()
	now, net := &atomic.Int64{}, &network{}
	var clk host.Clock = func() model.Instant { return model.Instant(now.Load()) }
	var refs []testRef
	for num, vm := range []model.VMID{"a", "b", "c"} {
		ref, stop, err := New(Config[*list, string, int, []string]{
			Group: "test", Self: vm, Voters: []model.VMID{"a", "b", "c"}, Replica: &list{}, Commands: textCodec{}, Snapshots: listCodec{},
			Sender: networkSender{net: net, self: vm}, Seed: uint64(num), Clock: clk,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(stop)
		net.add(vm, ref.Deliver)
		refs = append(refs, ref)
	}
	for range 10000 {
		now.Add(int64(tickInterval))
		for num, ref := range refs {
			leased := make(chan bool, 1)
			ref.send(quorum.Tick{})
			ref.Do(func(_ model.Instant, rol quorum.Role, _ *list) { leased <- rol.Leased() })
			if <-leased {
				return ref, append(append([]testRef(nil), refs[:num]...), refs[num+1:]...), now
			}
		}
	}
	t.Fatal("no leader")
	return testRef{}, nil, nil
}

// Guards against a leader that loses its lease, though all voters answer, because their
// answers wait behind queued work.
func TestLeaseOutlastsQueuedWork(t *testing.T) {
	ctx := testContext(t)
	lea, others, now := startLeader(t)
	const items = 200
	leased := make(chan bool, items)
	for range items {
		lea.Enqueue(admit.NewItem[string](admit.Reports, 0, NewWork(func(tur Turn, _ *list) {
			held := tur.Role().Leased()
			now.Add(int64(tickInterval))
			lea.send(quorum.Tick{})
			for _, ref := range others {
				// The reply shows that the follower has answered all earlier messages.
				if _, err := ref.Members(ctx); err != nil {
					t.Error(err)
				}
			}
			leased <- held
		}, func(error) {})))
	}
	for num := range items {
		if !<-leased {
			t.Fatalf("no leader lease after %d of %d items that take %v each", num, items, tickInterval)
		}
	}
}

// Guards against a caller that learns only after its deadline that its read was not
// handled, and against work that is handled after a newer item has replaced it.
func TestQueuedWorkIsDroppedOnce(t *testing.T) {
	lea, _, now := startLeader(t)
	gate, outcome := make(chan struct{}), make(chan string, 3)
	lea.Do(func(model.Instant, quorum.Role, *list) { <-gate })
	end := model.Instant(now.Load()).Add(time.Second)
	add := func(name string, edit func(it Item[*list]) Item[*list]) {
		var busy *BusyError
		lea.Enqueue(edit(admit.NewItem[string](admit.Reports, 0, NewWork(func(Turn, *list) { outcome <- name + " ran" }, func(why error) {
			if errors.As(why, &busy) {
				outcome <- name + " dropped"
			}
		}))))
	}
	add("older", func(it Item[*list]) Item[*list] { return it.WithKey("w", 1) })
	add("newer", func(it Item[*list]) Item[*list] { return it.WithKey("w", 2) })
	add("expired", func(it Item[*list]) Item[*list] { return it.WithDeadline(end) })
	now.Add(int64(2 * time.Second))
	close(gate)
	got := map[string]bool{}
	for range 3 {
		got[<-outcome] = true
	}
	for _, want := range []string{"older dropped", "newer ran", "expired dropped"} {
		if !got[want] {
			t.Errorf("outcomes %v, want %q", got, want)
		}
	}
}
