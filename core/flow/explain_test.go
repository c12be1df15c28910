package flow

import (
	"fmt"
	"testing"
	"time"

	"guavarail/core/model"
)

// lostRestarts returns a leader of a service that is full of long-running tasks, after workers
// with lost ones have been replaced. The tasks differ so that no search for one shows anything for another.
func lostRestarts(t *testing.T, workers, lost int) *harness {
	t.Helper()
	har := newHarness(t)
	for num := range workers {
		name := fmt.Sprint("w", num)
		shape := int64(num % lost)
		har.submit(fmt.Sprint("job", num), StepSpec{Tasks: 1, Size: model.NewResources(2100+shape*10, 3900-shape*10, 0), LongRunning: true})
		for _, ord := range har.heartbeat(name, nil).Starts {
			har.heartbeat(name, []RunReport{{Task: ord.Task, Attempt: ord.Attempt, Percent: fullPace}})
		}
	}
	for num := range lost {
		har.lose(fmt.Sprint("w", num))
	}
	return har
}

// Guards against events about waiting tasks that cost the leader more than its decisions,
// because each looks at all workers.
func TestEventsAboutWaitingTasksAreBounded(t *testing.T) {
	const played = 3 * time.Second
	har := lostRestarts(t, 600, 300)
	har.events = nil
	from := har.now
	for end := from.Add(played); har.now.Before(end); har.now = har.now.Add(TickInterval) {
		har.step(Tick{LeaseUntil: model.Instant(time.Hour)})
	}
	num := 0
	for _, evt := range har.events {
		if evt.Kind == "tasksWait" {
			num++
		}
	}
	if most := int(played/explainWindow+1) * maxExplained / 300; num == 0 || num > most {
		t.Errorf("%d events in %v, want 1 to %d", num, played, most)
	}
}
