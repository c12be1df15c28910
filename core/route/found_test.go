package route

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against a server that comes back through an announcement that arrives
// more than 5 s after its leave message. Found by TestRoutingKeepsItsPromises
// with seed 20260.
func TestServerThatLeftStaysOut(t *testing.T) {
	mac := New[int](Config[PowerOfTwo]{Seed: 1})
	ba := NewBackend(BackendSpec{ID: "b-3", Service: "s", Worker: "w", Slots: 1, Incarnation: 1})
	mac.Step(0, NewLeave("b-3", 1))
	late := model.Instant(5200 * time.Millisecond)
	mac.Step(late, NewAnnounce(ba, 0))
	if got := mac.Servers(late); len(got) != 0 {
		t.Errorf("server is back: %+v", got)
	}
	ba.spec.Incarnation = 2
	mac.Step(late, NewAnnounce(ba, 0))
	if got := mac.Servers(late); len(got) != 1 {
		t.Error("the next start of the server is not accepted")
	}
}
