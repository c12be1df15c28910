package fleet

// NewWithRoom returns a state that keeps fewer answers, so that tests reach
// the end of the window in few steps.
func NewWithRoom(room int) *State { return &State{room: room} }
