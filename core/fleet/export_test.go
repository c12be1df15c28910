package fleet

// NewWithMaxAnswers returns a state that stores the last maxAnswers answers, so that
// tests can make answers expire in few steps.
func NewWithMaxAnswers(maxAnswers int) *State { return &State{maxAnswers: maxAnswers} }
