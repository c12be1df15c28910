package disk

import "testing"

// Guards against a crash that counts as a planned shutdown because the record of the
// shutdown before it was not removed.
func TestCleanStopCountsOnce(t *testing.T) {
	dir := t.TempDir()
	for i, want := range []bool{false, true, false} {
		if i == 1 {
			if err := MarkCleanStop(OS{}, dir); err != nil {
				t.Fatal(err)
			}
		}
		got, err := TakeCleanStop(OS{}, dir)
		if err != nil || got != want {
			t.Errorf("start %d: clean %v, %v, want %v", i, got, err, want)
		}
	}
}
