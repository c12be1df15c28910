package waves

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// emptyFleet has no runs.
type emptyFleet struct{}

// Load implements Fleet.
func (emptyFleet) Load(model.WorkerID) Load { return Load{Runs: 1, Bounded: 1, Blocked: true} }

// BenchmarkTick measures a tick with a wave of 10,000 machines, all of which are listed.
func BenchmarkTick(b *testing.B) {
	st := &State{}
	spec := Spec{Number: 1, Limit: 10, EndMs: 1 << 40, Duration: time.Hour}
	pg := Page{Term: 1}
	for i := range 10_000 {
		id := MachineID(fmt.Sprint("m", i))
		spec.Machines = append(spec.Machines, id)
		pg.Machines = append(pg.Machines, Listed{ID: id, State: Up, Worker: model.WorkerID(id)})
	}
	st.Apply(Accept(spec))
	pl := NewPlanner(st, Config{})
	pl.Step(0, Began{Term: 1})
	now := model.Instant(2 * time.Second)
	pl.Step(now, Tick{Fleet: emptyFleet{}})
	pl.Step(now, pg)
	for b.Loop() {
		pl.Step(now, Tick{Fleet: emptyFleet{}})
	}
}
