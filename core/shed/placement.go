package shed

import (
	"math"

	"guavarail/core/model"
)

// startDelay is the expected time from when a task may start until it is placed, in
// seconds: a commit and a plan.
const startDelay = 0.05

// shape is what decides how many tasks fit on the workers.
type shape struct {
	size      model.Resources
	label     string
	perWorker int
	filler    bool
}

// slotsFor returns how many tasks of a step fit on the workers besides long-running
// tasks.
func (sv *service) slotsFor(st *Step) float64 {
	key := shape{size: st.Size, label: st.Label, perWorker: st.PerWorker, filler: st.Filler}
	if num, ok := sv.slots[key]; ok {
		return num
	}
	num := sv.gridOf(st.Label).slots(st)
	sv.slots[key] = num
	return num
}

// gridOf returns the workers with a label; those of all workers if it is empty.
func (sv *service) gridOf(label string) *grid {
	gr, ok := sv.grids[label]
	if !ok {
		gr = newGrid(sv.workers, label)
		sv.grids[label] = gr
	}
	return gr
}

// place takes what a job needs from a room, adds it to taken unless that is nil, and
// returns when the job is expected to end, in seconds. It returns false if that is not
// known: beyond the horizon, or if no worker can hold a task. qu is the quota of its
// workspace, nil for none.
func (sv *service) place(ro, taken *room, qu *quota, jo *Job, from float64) (float64, bool) {
	var buf [16]float64
	ends := buf[:0]
	last := 0.0
	for s := range jo.Steps {
		st := &jo.Steps[s]
		end := st.RunningFor.Seconds()
		if st.Tasks > 0 {
			ready := from + startDelay
			for _, dep := range st.After {
				ready = max(ready, ends[dep]+startDelay)
			}
			over, ok := sv.placeStep(ro, taken, qu, st, ready)
			if !ok {
				return 0, false
			}
			end = max(end, over)
		}
		ends = append(ends, end)
		last = max(last, end)
	}
	return last, true
}

// placeStep is place for the tasks of a step that may start at a time. Tasks start as far
// as there is room, and those of a gang at once.
func (sv *service) placeStep(ro, taken *room, qu *quota, st *Step, ready float64) (float64, bool) {
	slots := sv.slotsFor(st)
	dur, tasks := st.Duration.Seconds(), float64(st.Tasks)
	if slots == 0 || st.Gang && slots < tasks {
		return 0, false
	}
	left := tasks * dur
	at := ready
	for i := spanAt(ready); i < spanCount; i++ {
		num := math.Floor(min(tasks, ro.fits(i, st, slots, sv.total), qu.fits(i, st.Size)))
		end := spanStarts[i+1]
		if st.Gang && left == tasks*dur && num < tasks {
			num = 0
		} else if st.Gang {
			num = tasks
		}
		done := num*(end-at) >= left
		if done {
			end = at + left/num
		}
		if num > 0 {
			part := (end - at) / (spanStarts[i+1] - spanStarts[i])
			ro.take(i, part, st.Size, st.Filler, num)
			if taken != nil {
				taken.take(i, -part, st.Size, st.Filler, num)
			}
			left -= num * (end - at)
		}
		if done {
			return max(end, ready+dur), true
		}
		at = end
	}
	return 0, false
}
