package sched

// Memory of the parts of a job in the state and in the planner, in bytes.
const (
	jobBytes  = 1 << 10
	taskBytes = 144
)

// Bytes estimates the memory that the job takes until it is deleted.
func (jo Job) Bytes() int64 { return jo.spec.bytes() }

// bytes is Job.Bytes for the job of a specification.
func (sp JobSpec) bytes() int64 { return jobBytes + int64(sp.Tasks)*taskBytes }

// Bytes returns the sum of Job.Bytes of the jobs in the state.
func (st *State) Bytes() int64 { return st.bytes }

// Knows reports whether the state has a job.
func (st *State) Knows(jo Job) bool {
	_, ok := st.jobs[jo.spec.ID]
	return ok
}
