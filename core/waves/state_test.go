package waves

import (
	"reflect"
	"testing"
)

func accepted(num Number, limit int, ids ...MachineID) Op {
	return Accept(Spec{Number: num, Machines: ids, Limit: limit, EndMs: 20_000, Duration: 20e9})
}

// Guards against a repeated or conflicting request that changes a running wave.
func TestWavesAreAcceptedOnce(t *testing.T) {
	st := &State{}
	for _, tc := range []struct {
		op   Op
		want Verdict
	}{
		{accepted(3, 1, "b", "a"), Applied},
		{accepted(3, 1, "a", "b"), Repeated},
		{accepted(3, 2, "a", "b"), Conflict},
		{accepted(3, 1, "a"), Conflict},
		{Op{}, Stale},
		{Mark(4, Machine{ID: "a", Phase: Gone}), Stale},
		{Mark(3, Machine{ID: "c", Phase: Gone}), Stale},
	} {
		if got := st.Apply(tc.op); got != tc.want {
			t.Errorf("%+v: verdict %d, want %d", tc.op, got, tc.want)
		}
	}
	if done, known := st.Completed(3); done || !known || st.Running() != 1 {
		t.Errorf("wave 3 completed %v, known %v", done, known)
	}
}

// Guards against a wave that is completed while a machine waits, and against more orders than
// the limit.
func TestWaveIsCompletedOnceEachMachineHasBegunOrIsGone(t *testing.T) {
	st := &State{}
	st.Apply(accepted(1, 1, "a", "b"))
	for i, tc := range []struct {
		mac  Machine
		want Verdict
		done bool
	}{
		{Machine{ID: "a", Phase: Begun}, Stale, false},
		{Machine{ID: "a", Phase: Ordered}, Applied, false},
		{Machine{ID: "b", Phase: Ordered}, Stale, false},
		{Machine{ID: "a", Phase: Begun}, Applied, false},
		{Machine{ID: "a", Phase: Waiting}, Stale, false},
		{Machine{ID: "b", Phase: Gone}, Applied, true},
	} {
		if got := st.Apply(Mark(1, tc.mac)); got != tc.want {
			t.Errorf("%d: verdict %d, want %d", i, got, tc.want)
		}
		if done, _ := st.Completed(1); done != tc.done {
			t.Errorf("%d: completed %v", i, done)
		}
		// A restored state continues alike.
		next := &State{}
		next.Restore(st.Snapshot())
		if !reflect.DeepEqual(next.Snapshot(), st.Snapshot()) || next.Running() != st.Running() {
			t.Errorf("%d: %+v restored as %+v", i, st.Snapshot(), next.Snapshot())
		}
		st = next
	}
	if got := st.Apply(accepted(1, 1, "a", "b")); got != Repeated {
		t.Errorf("a completed wave was accepted again: %d", got)
	}
}
