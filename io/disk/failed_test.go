package disk

import (
	"syscall"
	"testing"

	"guavarail/core/quorum"
)

// failingLog fails each append and counts them.
type failingLog struct{ appends int }

func (fl *failingLog) Append(quorum.HardState, []quorum.Entry) error {
	fl.appends++
	return syscall.EIO
}

func (fl *failingLog) Sync() error { return syscall.EIO }

func (fl *failingLog) Replace(quorum.HardState, []quorum.Entry) error { return syscall.EIO }

// failingStore is a Memory whose log is a failingLog.
type failingStore struct {
	*Memory
	log *failingLog
}

func (fs failingStore) Log() Log { return fs.log }

// Guards against an actor that goes on using a log which has failed: it must leave the
// log alone after the first error and halt the consensus node once.
func TestFailedLogIsLeftAlone(t *testing.T) {
	fl := &failingLog{}
	inputs := make(chan quorum.Input, 100)
	ref, stop, err := Spawn(testSystem(), "failed", failingStore{Memory: NewMemory(), log: fl}, Callbacks{Input: func(in quorum.Input) { inputs <- in }})
	if err != nil {
		t.Fatal(err)
	}
	for _, eff := range persistEffects(10) {
		ref.Persist(eff)
	}
	stop()
	if fl.appends != 1 || len(inputs) != 1 || <-inputs != quorum.NewHalt(syscall.EIO) {
		t.Errorf("%d appends and %d further inputs, want 1 append and Halt once", fl.appends, len(inputs))
	}
}
