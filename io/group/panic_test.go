package group

import (
	"context"
	"errors"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

// Guards against a process that ends, or a replica that goes on with a state that may be
// wrong, after a panic of the replica's actor.
func TestPanicHaltsTheReplicaOnly(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	net := &network{}
	refs := map[model.VMID]testRef{}
	for _, vm := range []model.VMID{"a", "b", "c"} {
		ref, stop := startReplica(t, net, vm, nil, "a", "b", "c")
		defer stop()
		refs[vm] = ref
	}
	leader := waitForLeader(ctx, t, refs["a"], refs["b"], refs["c"])
	leader.Do(func(model.Instant, quorum.Role, *list) { panic("odd input") })
	var pan *PanicError
	for !errors.As(leader.Err(ctx), &pan) {
		if ctx.Err() != nil {
			t.Fatalf("the replica has not halted: %v", leader.Err(t.Context()))
		}
	}
	others := make([]testRef, 0, 2)
	for _, ref := range refs {
		if ref.self != leader.self {
			others = append(others, ref)
		}
	}
	if _, err := waitForLeader(ctx, t, others...).Propose(ctx, "1"); err != nil {
		t.Errorf("the other replicas do not go on: %v", err)
	}
}
