package host

import (
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
)

// adder is a state machine that adds up its inputs and emits each sum as an
// effect.
type adder struct {
	sum int
}

func (ad *adder) Step(_ model.Instant, in int) []int {
	ad.sum += in
	return []int{ad.sum}
}

// Guards against effects that are lost, reordered or executed after the
// clean-up function has returned.
func TestEffectsInOrderUntilCleanUp(t *testing.T) {
	sys, stopSys := NewSystem(hclog.NewNullLogger())
	defer stopSys()
	var got []int
	cfg := Config[*adder, int, int]{
		Name:         "adder",
		Machine:      &adder{},
		Clock:        func() model.Instant { return 0 },
		HandleEffect: func(eff int) { got = append(got, eff) },
	}
	ref, stop, err := Spawn(sys, cfg)
	if err != nil {
		t.Fatal(err)
	}
	for i := 1; i <= 3; i++ {
		ref.Send(i)
	}
	sum, err := Read(ref, time.Minute, func(_ model.Instant, ad *adder) int { return ad.sum })
	if err != nil || sum != 6 {
		t.Fatalf("read %d, %v, want 6", sum, err)
	}
	stop()
	want := []int{1, 3, 6}
	if len(got) != len(want) || got[0] != 1 || got[1] != 3 || got[2] != 6 {
		t.Errorf("effects %v, want %v", got, want)
	}
}

// Guards against a second actor of the same name that silently replaces the
// first.
func TestNameIsUnique(t *testing.T) {
	sys, stopSys := NewSystem(hclog.NewNullLogger())
	defer stopSys()
	cfg := Config[*adder, int, int]{Name: "twice", Machine: &adder{}, Clock: NewClock(), HandleEffect: func(int) {}}
	_, stop, err := Spawn(sys, cfg)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	_, _, err = Spawn(sys, cfg)
	if spe, ok := err.(*SpawnError); !ok || spe.Unwrap() != actor.ErrNameExists {
		t.Errorf("error %v, want a SpawnError", err)
	}
}
