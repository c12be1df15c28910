package flow

// maxWeighed is the number of workers that a plan may weigh for tasks. It bounds the
// time of a plan, during which no heartbeat is handled and no proposal is made, to about
// the time of a commit.
const maxWeighed = 20_000

// planBound ends a plan that takes too long and lets the next one continue. The zero
// value begins with the first step.
type planBound struct {
	// weighed counts the workers that were weighed for tasks in this plan, and limit is
	// how many may be in all until the end of the present step. Of what a step weighs
	// beyond a limit of less than maxWeighed, nothing counts for the steps after it.
	weighed, limit int
	// from is the index of the step at which this plan goes on where the one before has
	// ended, and next is the same for the next plan. A step that is placed as a whole or
	// not at all, and took all the time of a plan, is left out by the next one.
	from, next int
}

// begin begins a plan.
func (pb *planBound) begin() { *pb = planBound{limit: maxWeighed / 2, from: pb.next} }

// reached reports whether the present step must end.
func (pb *planBound) reached() bool { return pb.weighed >= pb.limit }

// skips reports whether a plan leaves out the step at an index of the scheduling order,
// and otherwise begins it. The steps before the one with which the plan goes on get half of
// its time: what comes first in the order must not wait until a long plan is through, and
// claims last for one plan.
func (pb *planBound) skips(index int, rs *readyStep) bool {
	if index < pb.from {
		return pb.reached() || rs.spec.Gang && !rs.restart && !rs.overdue
	}
	if pb.limit < maxWeighed {
		pb.weighed, pb.limit = min(pb.weighed, pb.limit), maxWeighed
	}
	return false
}

// over reports whether the plan must end after the step at an index.
func (pb *planBound) over(index int) bool { return index >= pb.from && pb.reached() }

// end ends the plan before the step at an index, with which the next plan begins. It returns
// false if no step is left, so that the next plan begins with the first one when it is due.
func (pb *planBound) end(index, steps int) bool {
	pb.next = index
	if pb.next >= steps {
		pb.next = 0
		return false
	}
	return true
}
