package flow

// maxWeighed is the number of workers that a plan may weigh for tasks. It bounds the
// time of a plan to a small part of the leader lease, which is not renewed meanwhile.
const maxWeighed = 60_000

// planBound ends a plan that takes too long and lets the next one continue. The zero
// value begins with the first step.
type planBound struct {
	// weighed counts the workers that were weighed for tasks in this plan.
	weighed int
	// from is the number of steps that this plan leaves out, because the plan before
	// ended after them, and next is the same for the next plan.
	from, next int
}

// begin begins a plan.
func (pb *planBound) begin() { *pb = planBound{from: pb.next} }

// reached reports whether the plan must end.
func (pb *planBound) reached() bool { return pb.weighed >= maxWeighed }

// skips reports whether a plan leaves out the step at an index of the scheduling order.
// Steps that may claim room come in each plan, because claims last for one plan. They
// get half of its time, so that it goes on.
func (pb *planBound) skips(index int, rs *readyStep) bool {
	mayClaim := rs.restart || rs.overdue
	return index < pb.from && (!mayClaim || pb.weighed >= maxWeighed/2)
}

// end ends the plan at the step at an index, which the next plan begins with.
func (pb *planBound) end(index int) { pb.next = max(index, pb.from) }
