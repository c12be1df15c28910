package flow

import (
	"fmt"
	"testing"

	"guavarail/core/model"
)

// Guards against new long-running tasks that take the last workers on which the tasks of a
// draining worker fit, because the room of all workers together suffices for both.
func TestFragmentsAreNoRoomForEndangeredTasks(t *testing.T) {
	const others = 8
	step := func(milliCPU int64, tasks int) StepSpec {
		return StepSpec{Tasks: tasks, Size: model.NewResources(milliCPU, 100, 0), LongRunning: true}
	}
	har := newHarness(t)
	listed := map[string][]RunReport{}
	beat := func(worker string) []StartOrder {
		starts := har.heartbeat(worker, listed[worker]).Starts
		for _, ord := range starts {
			listed[worker] = append(listed[worker], RunReport{Task: ord.Task, Attempt: ord.Attempt, Percent: fullPace})
		}
		return starts
	}
	har.submit("old", step(2000, 2))
	beat("w1")
	beat("w1")
	for num := range others {
		har.submit(fmt.Sprint("full", num), step(3000, 1))
		beat(fmt.Sprint("full", num))
		beat(fmt.Sprint("full", num))
	}
	har.sequence++
	har.step(Heartbeat{
		HeartbeatID: har.sequence, Incarnation: NewIncarnation("w1", 1), Sequence: har.sequence, Service: "svc", Centre: "a", Address: "w1",
		Size: model.NewResources(4000, 4000, 0), Runs: listed["w1"], Draining: true,
	})
	har.submit("large", step(3000, 1))
	har.submit("small", step(800, 1))
	if starts := beat("w2"); len(starts) > 0 {
		t.Errorf("starts %+v on the only worker with room for the tasks of the draining one", starts)
	}
	small := 0
	for num := range others {
		for _, ord := range beat(fmt.Sprint("full", num)) {
			if ord.Task.Job() == "small" {
				small++
			}
		}
	}
	if small != 1 {
		t.Errorf("%d starts of the small task on workers that none of the endangered ones fits on, want 1", small)
	}
	har.lose("w1")
	if starts := beat("w2"); len(starts) != 2 || starts[0].Task.Job() != "old" {
		t.Errorf("starts %+v, want both tasks of the lost worker", starts)
	}
}
