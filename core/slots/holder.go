package slots

import (
	"time"

	"guavarail/core/model"
)

// Usage is what the routing machine uses of a worker.
type Usage struct {
	worker  model.WorkerID
	version uint64
	slots   int
	inUse   int
	wanted  int
}

// NewUsage returns the usage under the limit with the given version.
func NewUsage(wo model.WorkerID, version uint64, slots, inUse, wanted int) Usage {
	return Usage{worker: wo, version: version, slots: slots, inUse: inUse, wanted: wanted}
}

// Depart starts the planned shutdown of the VM: all credits are given back as
// they become free.
type Depart struct{}

// Credits is the limit that the routing machine must keep to from now on. It
// confirms the version with a Usage.
type Credits struct {
	worker  model.WorkerID
	limit   int
	version uint64
}

// Worker names the worker.
func (cr Credits) Worker() model.WorkerID { return cr.worker }

// Limit returns the slots that may be in use.
func (cr Credits) Limit() int { return cr.limit }

// Version orders the limits of one worker.
func (cr Credits) Version() uint64 { return cr.version }

// Renewed says until when credits may be used.
type Renewed struct{ until model.Instant }

// Until returns the end of the lease.
func (re Renewed) Until() model.Instant { return re.until }

func (Usage) input()    {}
func (Depart) input()   {}
func (Credits) effect() {}
func (Renewed) effect() {}

// Holder keeps the credits of one entry VM.
type Holder struct {
	vm    model.VMID
	boot  uint64
	start model.Instant
	begun bool
	// clean says that no earlier process of this VM can still use a slot.
	clean bool
	term  uint64
	// number is that of the latest report, sent at sentAt. Grants for other
	// reports are ignored.
	number uint64
	sentAt model.Instant
	// answered is the latest report that was answered, ack the last grant taken.
	answered uint64
	ack      uint64
	until    model.Instant
	full     bool
	leaving  bool
	// urgent asks for a report before the next renewal.
	urgent bool
	// sentFull says that the latest report was full.
	sentFull bool
	// versions numbers the limits told to the routing machine.
	versions uint64
	workers  map[model.WorkerID]*holding
	order    []*holding
	out      []Effect
}

// holding is what the VM has of one worker.
type holding struct {
	worker model.WorkerID
	slots  int
	wanted int
	// settled is set while the last usage was under the present limit.
	settled bool
	// granted is what the lender counts for this VM at least.
	granted int
	target  int
	// offered is the limit last told to the routing machine.
	offered int
	version uint64
	// ceiling bounds the slots in use now and later under the current offer.
	ceiling int
	told    Claim
	// toldIn is the report that last had a claim on the worker.
	toldIn uint64
}

// NewHolder returns the holder of one start of a VM.
func NewHolder(vm model.VMID, boot uint64) *Holder {
	return &Holder{vm: vm, boot: boot, full: true}
}

// Step takes one input.
func (ho *Holder) Step(now model.Instant, in Input) []Effect {
	if !ho.begun {
		ho.begun, ho.start, ho.full = true, now, true
		ho.workers = map[model.WorkerID]*holding{}
	}
	ho.out = nil
	switch msg := in.(type) {
	case Usage:
		ho.use(msg)
	case Grant:
		ho.grant(now, msg.spec)
	case Depart:
		ho.leaving, ho.urgent = true, true
		for _, hd := range ho.order {
			ho.offer(hd, 0)
		}
	}
	ho.expire(now)
	ho.report(now)
	return ho.out
}

func (ho *Holder) holding(wo model.WorkerID) *holding {
	hd := ho.workers[wo]
	if hd == nil {
		hd = &holding{worker: wo}
		ho.workers[wo] = hd
		ho.order = append(ho.order, hd)
	}
	return hd
}

func (ho *Holder) use(us Usage) {
	hd := ho.holding(us.worker)
	hd.slots, hd.wanted = us.slots, us.wanted
	if us.version == hd.version {
		// A usage under an earlier limit says nothing about the present one.
		hd.settled = true
		hd.ceiling = max(hd.offered, us.inUse)
	}
	if hd.ceiling < hd.granted || (us.wanted > hd.granted && us.wanted != hd.told.wanted) {
		ho.urgent = true
	}
}

// offer tells the routing machine a new limit.
func (ho *Holder) offer(hd *holding, limit int) {
	if limit == hd.offered {
		return
	}
	hd.offered = limit
	ho.versions++
	hd.version, hd.settled = ho.versions, false
	hd.ceiling = max(hd.ceiling, limit)
	ho.out = append(ho.out, Credits{worker: hd.worker, limit: limit, version: hd.version})
}

func (ho *Holder) grant(now model.Instant, gr GrantSpec) {
	if gr.VM != ho.vm || gr.Boot != ho.boot || gr.Term < ho.term {
		return
	}
	if gr.Term > ho.term {
		ho.term, ho.ack = gr.Term, 0
		ho.full, ho.urgent = true, true
	}
	if gr.Resync {
		ho.full, ho.urgent, ho.ack = true, true, 0
		return
	}
	until := ho.sentAt.Add(model.LessDrift(Lease))
	if gr.Number != ho.number || gr.Sequence <= ho.ack || !now.Before(until) {
		return
	}
	ho.answered, ho.ack = gr.Number, gr.Sequence
	if ho.sentFull {
		// A full report is repeated until the lender has answered it.
		ho.full, ho.sentFull = false, false
	}
	if until != ho.until {
		ho.until = until
		ho.out = append(ho.out, Renewed{until: until})
	}
	for _, sh := range gr.Shares {
		hd := ho.holding(sh.worker)
		hd.granted, hd.target = sh.limit, sh.target
		if !ho.leaving {
			ho.offer(hd, min(sh.limit, sh.target))
		}
	}
}

// expire gives up all credits at the end of the lease. Slots in use stay
// counted until the requests end.
func (ho *Holder) expire(now model.Instant) {
	if ho.until == 0 || now.Before(ho.until) {
		return
	}
	ho.until = 0
	ho.full, ho.urgent = true, true
	for _, hd := range ho.order {
		ho.offer(hd, 0)
	}
}

// report sends a report when it is time to renew or when something urgent
// changed.
func (ho *Holder) report(now model.Instant) {
	since := now.Sub(ho.sentAt)
	if ho.number > 0 && since < urgentEvery || (ho.number > 0 && !ho.urgent && since < RenewEvery) {
		return
	}
	ho.number++
	ho.sentAt = now
	ho.urgent = false
	spec := ReportSpec{
		VM: ho.vm, Boot: ho.boot, Term: ho.term, Number: ho.number, Ack: ho.ack,
		Uptime: ho.Uptime(now), Full: ho.full, Leaving: ho.leaving,
	}
	kept := ho.order[:0]
	for _, hd := range ho.order {
		if ho.idle(hd) {
			delete(ho.workers, hd.worker)
			continue
		}
		kept = append(kept, hd)
		cl := NewClaim(hd.worker, hd.slots, hd.ceiling, hd.wanted)
		if ho.leaving {
			cl.wanted = 0
		}
		unanswered := hd.toldIn > ho.answered
		if ho.full || unanswered || hd.ceiling < hd.granted || cl.wanted != hd.told.wanted || cl.slots != hd.told.slots {
			spec.Claims = append(spec.Claims, cl)
			hd.told, hd.toldIn, hd.granted = cl, ho.number, hd.ceiling
		}
	}
	clear(ho.order[len(kept):])
	ho.order = kept
	ho.out = append(ho.out, NewReport(spec))
	ho.sentFull = ho.full
}

// idle reports whether the lender and the routing machine have nothing left of
// a worker that has no backend server any more.
func (ho *Holder) idle(hd *holding) bool {
	return hd.slots == 0 && hd.ceiling == 0 && hd.granted == 0 && hd.offered == 0 &&
		hd.told.slots == 0 && hd.toldIn <= ho.answered && (hd.settled || hd.version == 0)
}

// Held returns the credits that this VM keeps of a worker.
func (ho *Holder) Held(wo model.WorkerID) int {
	if hd := ho.workers[wo]; hd != nil {
		return hd.ceiling
	}
	return 0
}

// Empty reports whether a leaving VM has given everything back.
func (ho *Holder) Empty() bool {
	for _, hd := range ho.order {
		if hd.ceiling > 0 {
			return false
		}
	}
	return true
}

// Until returns the end of the lease.
func (ho *Holder) Until() model.Instant { return ho.until }

// StartedClean tells the holder, before its first step, that the last process
// of this VM ended in a planned shutdown, so that the lender need not wait for
// requests of that process.
func (ho *Holder) StartedClean() { ho.clean = true }

// cleanUptime is longer than any request of an earlier process can take.
const cleanUptime = 24 * time.Hour

// Uptime returns the time for which no earlier process of this VM used a slot:
// the time since the first step, or longer after a planned shutdown.
func (ho *Holder) Uptime(now model.Instant) time.Duration {
	if ho.clean {
		return cleanUptime
	}
	return now.Sub(ho.start)
}
