package limit

import (
	"sync"
	"sync/atomic"

	"guavarail/core/model"
)

// jobShare divides the memory of a VM: the result is what the jobs in the state may take.
// Snapshots and the log hold their texts for a time, too.
const jobShare = 5

// Jobs bounds the memory of the jobs that this VM accepts as a leader. The zero value has no
// bound. It is safe for concurrent use.
type Jobs struct {
	// limit is in bytes, 0 for no bound. It does not change.
	limit int64
	// state is the memory of the jobs in the state, as far as it is known.
	state atomic.Int64
	// mu guards the fields below.
	mu sync.Mutex
	// proposed counts the submissions of a job that are being proposed, and bytes is their
	// memory.
	proposed map[model.JobID]int
	bytes    int64
	// uncertain has the jobs whose proposal had an unknown outcome, until it is applied or
	// this VM steps down.
	uncertain map[model.JobID]struct{}
}

// NewJobs returns the bound for a VM with the given megabytes of memory, 0 for no bound.
func NewJobs(memoryMB int) *Jobs { return &Jobs{limit: int64(memoryMB) << 20 / jobShare} }

// SetState sets the memory of the jobs in the state.
func (jo *Jobs) SetState(bytes int64) { jo.state.Store(bytes) }

// TooLarge reports whether a job of size bytes takes more than all jobs may.
func (jo *Jobs) TooLarge(size int64) bool { return jo.limit > 0 && size > jo.limit }

// Begin takes the memory of a job that is about to be proposed. It returns false if there is
// none. known is set if the state has the job: it is proposed all the same, and so is one that
// is being proposed, since its caller may have missed the answer.
func (jo *Jobs) Begin(id model.JobID, size int64, known bool) bool {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	full := jo.limit > 0 && jo.state.Load()+jo.bytes+size > jo.limit
	_, uncertain := jo.uncertain[id]
	if full && !known && !uncertain && jo.proposed[id] == 0 {
		return false
	}
	if jo.proposed == nil {
		jo.proposed = map[model.JobID]int{}
	}
	jo.proposed[id]++
	jo.bytes += size
	return true
}

// End is called when the proposal of a job has ended. certain is set if its outcome is known.
func (jo *Jobs) End(id model.JobID, size int64, certain bool) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	jo.bytes -= size
	if jo.proposed[id]--; jo.proposed[id] == 0 {
		delete(jo.proposed, id)
	}
	if certain {
		return
	}
	if jo.uncertain == nil {
		jo.uncertain = map[model.JobID]struct{}{}
	}
	jo.uncertain[id] = struct{}{}
}

// Applied is called when the submission of a job was applied.
func (jo *Jobs) Applied(id model.JobID) {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	delete(jo.uncertain, id)
}

// StepDown is called when this VM leads no more.
func (jo *Jobs) StepDown() {
	jo.mu.Lock()
	defer jo.mu.Unlock()
	clear(jo.uncertain)
}
