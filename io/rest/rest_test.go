package rest

import (
	"encoding/json"
	"errors"
	"testing"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// Guards against preset fields that are lost or modified in the conversion
// between the API and the model.
func TestPresetKeepsItsValues(t *testing.T) {
	body := `{"name":"peak","deadlineMs":3000,"maxRequestMs":30000,"queuePerSlot":4,"batchSharePercent":20,` +
		`"drain":"checkpoint","forward":true,"guards":false,"services":[{"service":"hire-desk","tailTargetMs":120,"weight":3}],` +
		`"quotas":[{"team":"fleet","limit":{"milliCpu":4000,"memoryMb":9,"accelerators":1},"weight":2}]}`
	var pr Preset
	if err := json.Unmarshal([]byte(body), &pr); err != nil {
		t.Fatal(err)
	}
	pre, err := pr.Model()
	if err != nil {
		t.Fatal(err)
	}
	got, err := json.Marshal(NewPreset(fleet.NewPresetEntry(pre, fleet.Change{}), "other"))
	if err != nil || string(got) != body {
		t.Errorf("preset %s, %v\nwant %s", got, err, body)
	}
}

// Guards against an invalid preset that is accepted because a duration overflows, or
// because an unknown drain mode is converted to the default.
func TestPresetFaultsReachTheModel(t *testing.T) {
	_, err := Preset{Name: "a", DeadlineMs: 1 << 62, Drain: "later"}.Model()
	var per *model.PresetError
	if !errors.As(err, &per) {
		t.Fatalf("error %v, want a PresetError", err)
	}
	fields := map[string]bool{}
	for _, fa := range per.Faults() {
		fields[fa.Field()] = true
	}
	if !fields["deadlineMs"] || !fields["drain"] {
		t.Errorf("faults %v, want deadlineMs and drain", err)
	}
}
