package flow

const (
	// Memory of the parts of a job in the state and in the planner, in bytes.
	jobBytes  = 1 << 10
	stepBytes = 320
	taskBytes = 96
	// textCopies is the number of copies of a text: in the state, and in the log or in a
	// snapshot that is being written.
	textCopies = 2
)

// Bytes estimates the memory that the job takes until it is dropped. The tasks of each
// occurrence of a job that repeats are kept until then.
func (jo Job) Bytes() int64 {
	spec := &jo.spec
	texts, tasks := len(spec.ID)+len(spec.Queue)+len(spec.Body), 0
	for i := range spec.Steps {
		st := &spec.Steps[i]
		texts += len(st.RequiredLabel) + len(st.DataRack) + len(st.Image) + 8*len(st.After)
		tasks += st.Tasks
	}
	size := jobBytes + textCopies*int64(texts) + int64(len(spec.Steps))*stepBytes
	return size + int64(max(1, spec.Repetitions))*(int64(tasks)*taskBytes+int64(len(spec.Steps))*stepBytes)
}

// Bytes returns the sum of Job.Bytes of the jobs in the state.
func (st *State) Bytes() int64 { return st.bytes }
