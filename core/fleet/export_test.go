package fleet

// NewWithMaxAnswers returns a state that keeps num answers, so that tests can
// make answers expire in few steps.
func NewWithMaxAnswers(maxAnswers int) *State { return &State{maxAnswers: maxAnswers} }
