package slots

import (
	"time"

	"guavarail/core/model"
)

const (
	simSlots   = 8
	simLongest = 30 * time.Second
)

var simWorkers = []model.WorkerID{"w-1", "w-2"}

// simRun is a request that runs on a worker. It ends at end even when its VM
// fails, because the backend server does not notice.
type simRun struct {
	vm     int
	boot   uint64
	worker model.WorkerID
	end    model.Instant
}

// simVM is an entry VM: a holder and a plain stand-in for the routing machine,
// with messages between them that wait to be delivered.
type simVM struct {
	name    model.VMID
	boot    uint64
	offset  time.Duration
	percent int64
	holder  *Holder
	lease   model.Instant
	limits  map[model.WorkerID]Credits
	wants   map[model.WorkerID]int
	toRoute []Effect
	toHold  []Usage
	leaving bool
}

// clock returns the local time of the VM, which drifts.
func (sv *simVM) clock(now model.Instant) model.Instant {
	return model.Instant(time.Duration(now)*time.Duration(sv.percent)/100 + sv.offset)
}

// sim is a data centre: VMs of which two can lead, and a network that loses,
// delays and reorders.
type sim struct {
	now     model.Instant
	vms     []*simVM
	lenders [2]*Lender
	leader  int
	term    uint64
	until   model.Instant
	net     []Input
	// cut is a VM whose messages wait; -1 when there is none.
	cut  int
	runs []simRun
}

func newSim() *sim {
	si := &sim{now: model.Instant(time.Hour), cut: -1}
	for i, name := range []model.VMID{"vm-1", "vm-2", "vm-3"} {
		vm := &simVM{name: name, offset: time.Duration(i) * time.Hour, percent: int64(98 + 2*i)}
		si.vms = append(si.vms, vm)
		si.restart(vm)
	}
	for i := range si.lenders {
		si.lenders[i] = &Lender{}
		si.lenders[i].Step(si.now, NewLongest(simLongest))
	}
	si.elect(0)
	return si
}

func (si *sim) restart(vm *simVM) {
	vm.boot++
	vm.holder = NewHolder(vm.name, vm.boot)
	vm.lease, vm.leaving = 0, false
	vm.limits, vm.wants = map[model.WorkerID]Credits{}, map[model.WorkerID]int{}
	vm.toRoute, vm.toHold = nil, nil
	for _, wo := range simWorkers {
		vm.wants[wo] = 1
		vm.toHold = append(vm.toHold, NewUsage(wo, 0, simSlots, 0, 1))
	}
}

// elect makes lender num the leader. The lease of the former leader is over.
func (si *sim) elect(num int) {
	si.leader = num
	si.term++
	si.lead()
}

func (si *sim) lead() {
	si.until = si.now.Add(800 * time.Millisecond)
	si.lend(si.leader, NewLead(si.term, si.until, []model.VMID{"vm-1", "vm-2", "vm-3"}))
}

func (si *sim) lend(num int, in Input) {
	for _, eff := range si.lenders[num].Step(si.now, in) {
		si.net = append(si.net, eff.(Grant))
	}
}

func (si *sim) hold(vm *simVM, in Input) {
	for _, eff := range vm.holder.Step(vm.clock(si.now), in) {
		if re, ok := eff.(Report); ok {
			si.net = append(si.net, re)
			continue
		}
		vm.toRoute = append(vm.toRoute, eff)
	}
}

// deliver hands over the message at pos, or leaves it when its VM is cut off.
func (si *sim) deliver(pos int) {
	msg := si.net[pos]
	if si.cut >= 0 && si.vms[si.cut].name == party(msg) {
		return
	}
	si.net = append(si.net[:pos:pos], si.net[pos+1:]...)
	switch val := msg.(type) {
	case Report:
		si.lend(si.leader, val)
	case Grant:
		for _, vm := range si.vms {
			if vm.name == val.Spec().VM {
				si.hold(vm, val)
			}
		}
	}
}

func party(msg Input) model.VMID {
	switch val := msg.(type) {
	case Report:
		return val.Spec().VM
	case Grant:
		return val.Spec().VM
	}
	return ""
}

// saturate runs as many requests as all VMs have credits for.
func (si *sim) saturate(dur time.Duration) {
	for num := range si.vms {
		for _, wo := range simWorkers {
			for si.start(num, wo, dur) {
				continue
			}
		}
	}
}

// route lets the routing machine of a VM take one message.
func (si *sim) route(vm *simVM) {
	if len(vm.toRoute) == 0 {
		return
	}
	eff := vm.toRoute[0]
	vm.toRoute = vm.toRoute[1:]
	switch val := eff.(type) {
	case Renewed:
		vm.lease = val.Until()
	case Credits:
		vm.limits[val.Worker()] = val
		si.usage(vm, val.Worker())
	}
}

func (si *sim) usage(vm *simVM, wo model.WorkerID) {
	used := si.inUse(vm, wo)
	vm.toHold = append(vm.toHold, NewUsage(wo, vm.limits[wo].Version(), simSlots, used, min(used+vm.wants[wo], simSlots)))
}

// inUse counts the requests of the present start of the VM.
func (si *sim) inUse(vm *simVM, wo model.WorkerID) int {
	num := 0
	for _, ru := range si.runs {
		if si.vms[ru.vm] == vm && ru.boot == vm.boot && ru.worker == wo {
			num++
		}
	}
	return num
}

// start runs a request if the VM has a free credit.
func (si *sim) start(num int, wo model.WorkerID, dur time.Duration) bool {
	vm := si.vms[num]
	if !vm.clock(si.now).Before(vm.lease) || si.inUse(vm, wo) >= vm.limits[wo].Limit() {
		return false
	}
	// The maximum request time runs on the clock of the VM.
	dur = dur * 100 / time.Duration(vm.percent)
	si.runs = append(si.runs, simRun{vm: num, boot: vm.boot, worker: wo, end: si.now.Add(dur)})
	return true
}

func (si *sim) advance(dur time.Duration) {
	si.now = si.now.Add(dur)
	kept := si.runs[:0]
	for _, ru := range si.runs {
		if si.now.Before(ru.end) {
			kept = append(kept, ru)
		}
	}
	si.runs = kept
}

func (si *sim) tick() {
	for i := range si.lenders {
		si.lend(i, Tick{})
	}
	for _, vm := range si.vms {
		for _, wo := range simWorkers {
			si.usage(vm, wo)
		}
		si.hold(vm, Tick{})
	}
}

// quiet delivers everything for a time in which nothing fails.
func (si *sim) quiet(dur time.Duration) {
	for end := si.now.Add(dur); si.now.Before(end); si.advance(50 * time.Millisecond) {
		si.lead()
		si.tick()
		for range 20 {
			for num := len(si.net); num > 0; num-- {
				si.deliver(si.first())
			}
			for _, vm := range si.vms {
				for len(vm.toRoute) > 0 {
					si.route(vm)
				}
				for len(vm.toHold) > 0 {
					si.take(vm)
				}
			}
		}
	}
}

// first returns the first message that is not cut off.
func (si *sim) first() int {
	for i, msg := range si.net {
		if si.cut < 0 || si.vms[si.cut].name != party(msg) {
			return i
		}
	}
	return 0
}

// take lets the holder take one usage.
func (si *sim) take(vm *simVM) {
	if len(vm.toHold) > 0 {
		us := vm.toHold[0]
		vm.toHold = vm.toHold[1:]
		si.hold(vm, us)
	}
}

// over returns a worker with more requests than slots.
func (si *sim) over() (model.WorkerID, int) {
	nums := map[model.WorkerID]int{}
	for _, ru := range si.runs {
		nums[ru.worker]++
	}
	for _, wo := range simWorkers {
		if nums[wo] > simSlots {
			return wo, nums[wo]
		}
	}
	return "", 0
}
