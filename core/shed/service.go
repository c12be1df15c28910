package shed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"guavarail/core/model"
)

const (
	// maxShapes bounds the shapes of tasks whose slots are cached.
	maxShapes = 2000
	// gridTolerance is the fraction by which the room of the workers may change before the
	// grids and the slots are computed again.
	gridTolerance = 0.02
	// maxSnapshots bounds the snapshots, and so their memory.
	maxSnapshots = 1024
	// packingWeight is the weight of the last measurement in the packing.
	packingWeight = 0.1
	// minPacking bounds the packing, since right after a loss of runs it is low.
	minPacking = 0.6
)

// service is the forecast for the workers of one service.
type service struct {
	workers []Worker
	total   amount
	// packing is the measured part of the processors that tasks other than fillers can
	// hold; 0 if it is not known.
	packing float64
	// arrivals is the work that is expected to arrive.
	arrivals []arrival
	// grids has the workers by label, and slots caches how many tasks fit on them, by
	// shape. Both are kept until the room of the workers changes by gridTolerance.
	grids map[string]*grid
	slots map[shape]float64
	// gridTotal is the room of the workers when the grids were made.
	gridTotal amount
	// free is what no run holds, and holds is what runs hold.
	free  room
	holds holds
	// entries are the accepted jobs in scheduling order. before holds what is free for
	// every one of them at a multiple of stride, and in its last element what all leave.
	entries []entry
	before  []snapshot
	stride  int
	// added are the jobs that were accepted since the forecast was made.
	added []addition
}

// addWorker adds a worker, and its room to the total.
func (sv *service) addWorker(wk *Worker) {
	sv.workers = append(sv.workers, *wk)
	num := float64(wk.Count)
	sv.total.cpu += num * float64(wk.Room.MilliCPU())
	sv.total.memory += num * float64(wk.Room.MemoryMB())
	sv.total.idle += num * (float64(wk.Room.MilliCPU()) + wk.IdleMilliCPU)
}

// resetFree sets the free room to all that the workers have.
func (sv *service) resetFree() {
	if !near(sv.gridTotal.cpu, sv.total.cpu) || !near(sv.gridTotal.memory, sv.total.memory) || len(sv.slots) > maxShapes {
		clear(sv.grids)
		clear(sv.slots)
		sv.gridTotal = sv.total
	}
	usable := sv.total
	usable.cpu *= sv.packed()
	sv.free = newRoom(usable)
}

// near reports whether an amount differs from another by no more than gridTolerance.
func near(am, other float64) bool { return math.Abs(am-other) <= gridTolerance*other }

// packed returns the part of the processors that tasks other than fillers can hold.
func (sv *service) packed() float64 {
	if sv.packing == 0 {
		return 1
	}
	return sv.packing
}

// recordFull records what tasks hold while others find no further room.
func (sv *service) recordFull(fu *Full) {
	if fu.Filler {
		for i := range spanCount {
			sv.free.idle[i] = min(sv.free.idle[i], float32(fu.MilliCPU))
		}
		return
	}
	part := min(1, max(minPacking, fu.MilliCPU/max(1, sv.total.cpu)))
	sv.packing = sv.packed() + packingWeight*(part-sv.packed())
}

// schedule places all entries in order, within the quotas of their workspaces.
func (sv *service) schedule(quotas map[model.WorkspaceID]*quota) {
	slices.SortStableFunc(sv.entries, func(en, other entry) int { return en.compare(&other) })
	sv.stride = 1 + len(sv.entries)/maxSnapshots
	free := snapshot{room: sv.free}
	sv.before = sv.before[:0]
	for i := range sv.entries {
		en := &sv.entries[i]
		if i%sv.stride == 0 {
			sv.before = append(sv.before, free)
		}
		free.setArriving(sv.arriving(en, false))
		usable := en.usableWork(&free.room)
		qu := quotas[en.job.Workspace]
		if qu == nil {
			en.end, en.known = sv.place(&free.room, nil, nil, en.job, 0)
		} else {
			var taken room
			en.end, en.known = sv.place(&free.room, &taken, qu, en.job, 0)
			qu.take(&taken)
		}
		en.margin = en.marginOf(usable, &free.room)
	}
	sv.before = append(sv.before, free)
}

// roomFor returns what is free for a new job at its position in scheduling order.
func (sv *service) roomFor(own *entry) room {
	pos, _ := slices.BinarySearchFunc(sv.entries, own, func(en entry, own *entry) int {
		return cmp.Or(en.compare(own), -1)
	})
	free := sv.before[len(sv.before)-1]
	if pos < len(sv.entries) {
		free = sv.before[pos/sv.stride]
	}
	for i := range sv.added {
		if sv.added[i].compare(own) <= 0 {
			free.sub(&sv.added[i].taken)
		}
	}
	free.setArriving(sv.arriving(own, true))
	return free.room
}

// rate returns the work that the workers can do in a second, in processor seconds.
func (sv *service) rate() float64 { return max(1, sv.total.cpu*sv.packed()/1000) }

// reuse returns an empty service that uses the buffers of sv, which may be nil.
func (sv *service) reuse() *service {
	out := &service{slots: map[shape]float64{}, grids: map[string]*grid{}}
	if sv != nil {
		clear(sv.entries)
		out.slots, out.grids, out.gridTotal = sv.slots, sv.grids, sv.gridTotal
		out.workers, out.entries, out.before, out.added = sv.workers[:0], sv.entries[:0], sv.before[:0], sv.added[:0]
		out.packing, out.arrivals = sv.packing, sv.arrivals[:0]
	}
	return out
}

// unlimitedOnTime reports whether a new job would end in its objective if its workspace had
// no quota.
func (sv *service) unlimitedOnTime(en *entry, since time.Duration) bool {
	ro := sv.roomFor(en)
	end, ok := sv.place(&ro, nil, nil, en.job, since.Seconds())
	return ok && end <= en.job.Left.Seconds()
}

// feasible reports whether the job could end in its objective if there were no others. qu is
// the quota of its workspace, nil for none.
func (sv *service) feasible(jo *Job, qu *quota) bool {
	ro := newRoom(sv.total)
	if qu != nil {
		qu = newQuota(qu.total)
	}
	end, ok := sv.place(&ro, nil, qu, jo, 0)
	return ok && end <= jo.Left.Seconds()
}
