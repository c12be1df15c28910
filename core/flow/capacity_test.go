package flow

import (
	"testing"
	"time"

	"guavarail/core/model"
)

// Guards against an event about a waiting task that does not say what is missing
// and which runs hold it.
func TestWaitEventNamesTheShortage(t *testing.T) {
	tests := []struct {
		name string
		held StepSpec
		want map[string]string
	}{
		{
			"processors",
			StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)},
			map[string]string{"noProcessors": "1", "noMemory": "0", "roomWithoutOrdinary": "1", "roomWithoutLower": "0", "longRunning": "true"},
		},
		{
			"memory",
			StepSpec{Tasks: 1, Size: model.NewResources(100, 3000, 0)},
			map[string]string{"noProcessors": "0", "noMemory": "1", "roomWithoutOrdinary": "1", "roomWithoutLower": "0", "longRunning": "true"},
		},
		{
			"long-running tasks",
			StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0), LongRunning: true},
			map[string]string{"noProcessors": "1", "noMemory": "0", "roomWithoutOrdinary": "0", "roomWithoutLower": "0", "longRunning": "true"},
		},
	}
	for _, tt := range tests {
		har := newHarness(t)
		har.submit("first", tt.held)
		har.heartbeat("w1", nil)
		har.submit("waits", StepSpec{Tasks: 1, Size: model.NewResources(2000, 2000, 0), LongRunning: true})
		fields := map[string]string{}
		for _, rec := range har.events {
			if rec.Kind == "tasksWait" && rec.Job == "waits" {
				for _, fi := range rec.Fields {
					fields[fi.Key] = fi.Value
				}
			}
		}
		for key, val := range tt.want {
			if fields[key] != val {
				t.Errorf("%s: %s is %q, want %q", tt.name, key, fields[key], val)
			}
		}
	}
}

// Guards against an event about the use of capacity that does not tell a start on
// its way from a run that the worker has: the room on the worker itself.
func TestCapacityEventNamesTheEmptiestWorker(t *testing.T) {
	har := newHarness(t)
	har.submit("first", StepSpec{Tasks: 1, Size: model.NewResources(3000, 100, 0)})
	har.heartbeat("w1", nil)
	har.submit("waits", StepSpec{Tasks: 1, Size: model.NewResources(2000, 2000, 0), LongRunning: true})
	var found []RecordEvent
	for _, rec := range har.events {
		if rec.Kind == "capacityUsed" {
			found = append(found, rec)
		}
	}
	if len(found) == 0 {
		t.Fatal("no event about the use of capacity")
	}
	fields := map[string]string{}
	for _, fi := range found[0].Fields {
		fields[fi.Key] = fi.Value
	}
	if found[0].Worker == "" || fields["unusedMilliCpu"] != "4000" || fields["unreportedMilliCpu"] != "3000" || fields["startAgeMs"] == "" {
		t.Errorf("worker %q has %v, want all 4000 milli processors unused and a start on its way", found[0].Worker, fields)
	}
}

// Guards against events that do not tell which kind of task takes the room that comes free,
// and how much work of which kind waits.
func TestEventsTellWhoGetsTheRoom(t *testing.T) {
	har := newHarness(t)
	har.submit("serves", StepSpec{Tasks: 1, Size: model.NewResources(2500, 100, 0), LongRunning: true})
	har.submit("ends", StepSpec{Tasks: 2, Size: model.NewResources(1500, 200, 0), Estimate: time.Second})
	var runs []RunReport
	for _, ord := range har.heartbeat("w1", nil).Starts {
		runs = append(runs, RunReport{Task: ord.Task, Attempt: ord.Attempt})
	}
	har.now = har.now.Add(2 * capacityEventInterval)
	har.heartbeat("w1", runs)
	har.submit("late", StepSpec{Tasks: 3, Size: model.NewResources(2000, 300, 0), LongRunning: true})
	kinds := map[string]string{}
	waiting := map[string]string{}
	for _, rec := range har.events {
		for _, fi := range rec.Fields {
			switch {
			case rec.Kind == "tasksStarted" && fi.Key == "kind":
				kinds[string(rec.Job)] = fi.Value
			case rec.Kind == "capacityUsed":
				waiting[fi.Key] = fi.Value
			}
		}
	}
	if kinds["serves"] != "longRunning" || kinds["ends"] != "ordinary" {
		t.Errorf("tasks started by kind: %v, want serves longRunning and ends ordinary", kinds)
	}
	for key, want := range map[string]string{
		"ordinaryWaitingMilliCpu": "1500", "longRunningWaitingMilliCpu": "6000", "longRunningWaitingMemoryMb": "900", "restartsWaitingMilliCpu": "0",
	} {
		if waiting[key] != want {
			t.Errorf("%s is %q, want %s", key, waiting[key], want)
		}
	}
}
