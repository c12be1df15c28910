package route

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against an announcement that arrives more than 5 s after the leave
// message of the same incarnation and adds the server again: 5 s is the shorter
// tombstone, which is only for servers without an incarnation.
// TestRoutingInvariants reaches this case with seed 20260.
func TestLateAnnouncementAfterLeaveIsIgnored(t *testing.T) {
	mac := New[int](Config[PowerOfTwo]{Seed: 1})
	ba := NewBackend(BackendSpec{ID: "b-3", Service: "s", Worker: "w", Slots: 1, Incarnation: 1})
	mac.Step(0, NewLeave("b-3", 1))
	late := model.Instant(5200 * time.Millisecond)
	mac.Step(late, NewAnnounce(ba, 0))
	if got := mac.Servers(late); len(got) != 0 {
		t.Errorf("delayed announcement added the server again: %+v", got)
	}
	ba.spec.Incarnation = 2
	mac.Step(late, NewAnnounce(ba, 0))
	if got := mac.Servers(late); len(got) != 1 {
		t.Error("the next incarnation of the server is not accepted")
	}
}
