package flow

import (
	"testing"

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
