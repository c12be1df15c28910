package model

import (
	"errors"
	"testing"
	"time"
)

// Guards against an invalid preset that is accepted, and against an error that
// does not report all faults.
func TestPresetIsCheckedAsAWhole(t *testing.T) {
	_, err := NewPreset(PresetSpec{Name: "Peak!", Deadline: time.Hour, QueuePerSlot: -1})
	var per *PresetError
	if !errors.As(err, &per) {
		t.Fatalf("error %v, want a PresetError", err)
	}
	var got []string
	for _, fa := range per.Faults() {
		got = append(got, fa.Field())
	}
	want := []string{"name", "deadlineMs", "deadlineMs", "queuePerSlot"}
	if len(got) != len(want) {
		t.Fatalf("faults %v, want %v", got, want)
	}
	for i := range want {
		if got[i] != want[i] {
			t.Errorf("fault %d is %s, want %s", i, got[i], want[i])
		}
	}
}

// Guards against a zero preset without the default values. It is the active
// preset until an operator creates one.
func TestZeroPresetHasDefaults(t *testing.T) {
	var pr Preset
	if pr.Deadline() != DefaultDeadline || pr.MaxRequest() != DefaultMaxRequest || pr.BatchShare() != DefaultBatchShare {
		t.Errorf("zero preset gives %v %v %d", pr.Deadline(), pr.MaxRequest(), pr.BatchShare())
	}
}
