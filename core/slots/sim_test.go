package slots

import (
	"time"

	"guavarail/core/model"
)

const (
	simSlots          = 8
	simMaxRequestTime = 30 * time.Second
)

var simWorkers = []model.WorkerID{"w-1", "w-2"}

// simRequest is a request that runs on a worker. It runs until end even if its
// VM restarts, because the backend server does not detect that.
type simRequest struct {
	vm     int
	boot   uint64
	worker model.WorkerID
	end    model.Instant
}

// simVM is an entry VM: a holder, a simple model of the routing machine, and
// queues of the messages between them.
type simVM struct {
	name model.VMID
	boot uint64
	// The clock of the VM runs at clockPercent of the speed of sim.now and is ahead
	// by clockOffset.
	clockOffset  time.Duration
	clockPercent int64
	holder       *Holder
	// leaseEnd and limits are those that the routing machine enforces.
	leaseEnd model.Instant
	limits   map[model.WorkerID]Credits
	// wanted is the number of credits wanted in addition to those in use.
	wanted    map[model.WorkerID]int
	toRouting []Effect
	toHolder  []Usage
	leaving   bool
}

// clock returns the local time of the VM at now.
func (sv *simVM) clock(now model.Instant) model.Instant {
	return model.Instant(time.Duration(now)*time.Duration(sv.clockPercent)/100 + sv.clockOffset)
}

// sim simulates a data centre: entry VMs, two lenders that can lead, and a
// network that loses, delays and reorders messages.
type sim struct {
	// now is the time by the clock of both lenders.
	now     model.Instant
	vms     []*simVM
	lenders [2]*Lender
	// leader is the index of the lender that leads in term until leaderLeaseEnd.
	leader         int
	term           uint64
	leaderLeaseEnd model.Instant
	// inTransit holds the reports and grants that are not delivered yet.
	inTransit []Input
	// partitioned is the index of a VM whose messages are held back, or -1.
	partitioned int
	running     []simRequest
}

func newSim() *sim {
	si := &sim{now: model.Instant(time.Hour), partitioned: -1}
	for i, name := range []model.VMID{"vm-1", "vm-2", "vm-3"} {
		vm := &simVM{name: name, clockOffset: time.Duration(i) * time.Hour, clockPercent: int64(98 + 2*i)}
		si.vms = append(si.vms, vm)
		si.restart(vm)
	}
	for i := range si.lenders {
		si.lenders[i] = &Lender{}
		si.lenders[i].Step(si.now, NewMaxRequestTime(simMaxRequestTime))
	}
	si.elect(0)
	return si
}

// restart replaces the process of a VM by a new one without credits. The requests
// of the former process continue on the workers.
func (si *sim) restart(vm *simVM) {
	vm.boot++
	vm.holder = NewHolder(vm.name, vm.boot)
	vm.leaseEnd, vm.leaving = 0, false
	vm.limits, vm.wanted = map[model.WorkerID]Credits{}, map[model.WorkerID]int{}
	vm.toRouting, vm.toHolder = nil, nil
	for _, wo := range simWorkers {
		vm.wanted[wo] = 1
		vm.toHolder = append(vm.toHolder, NewUsage(wo, 0, simSlots, 0, 1))
	}
}

// elect makes the lender with index num the leader in the next term. The leader
// lease of the former leader must have ended.
func (si *sim) elect(num int) {
	si.leader = num
	si.term++
	si.renewLeader()
}

// renewLeader extends the leader lease by 800 ms from now.
func (si *sim) renewLeader() {
	si.leaderLeaseEnd = si.now.Add(800 * time.Millisecond)
	si.stepLender(si.leader, NewLeadership(si.term, si.leaderLeaseEnd, []model.VMID{"vm-1", "vm-2", "vm-3"}))
}

func (si *sim) stepLender(num int, in Input) {
	for _, eff := range si.lenders[num].Step(si.now, in) {
		si.inTransit = append(si.inTransit, eff.(Grant))
	}
}

func (si *sim) stepHolder(vm *simVM, in Input) {
	for _, eff := range vm.holder.Step(vm.clock(si.now), in) {
		if re, ok := eff.(Report); ok {
			si.inTransit = append(si.inTransit, re)
			continue
		}
		vm.toRouting = append(vm.toRouting, eff)
	}
}

// deliver delivers the message at index pos of inTransit unless its VM is
// partitioned.
func (si *sim) deliver(pos int) {
	msg := si.inTransit[pos]
	if si.partitioned >= 0 && si.vms[si.partitioned].name == vmOf(msg) {
		return
	}
	si.inTransit = append(si.inTransit[:pos:pos], si.inTransit[pos+1:]...)
	switch val := msg.(type) {
	case Report:
		si.stepLender(si.leader, val)
	case Grant:
		for _, vm := range si.vms {
			if vm.name == val.Spec().VM {
				si.stepHolder(vm, val)
			}
		}
	}
}

// vmOf returns the VM that sends or receives msg.
func vmOf(msg Input) model.VMID {
	switch val := msg.(type) {
	case Report:
		return val.Spec().VM
	case Grant:
		return val.Spec().VM
	}
	return ""
}

// saturate starts as many requests as the VMs have credits for. Each takes dur.
func (si *sim) saturate(dur time.Duration) {
	for num := range si.vms {
		for _, wo := range simWorkers {
			for si.startRequest(num, wo, dur) {
				continue
			}
		}
	}
}

// deliverToRouting delivers the oldest message to the routing machine of a VM, if
// there is one. The routing machine confirms a new limit with a usage.
func (si *sim) deliverToRouting(vm *simVM) {
	if len(vm.toRouting) == 0 {
		return
	}
	eff := vm.toRouting[0]
	vm.toRouting = vm.toRouting[1:]
	switch val := eff.(type) {
	case LeaseRenewed:
		vm.leaseEnd = val.Until()
	case Credits:
		vm.limits[val.Worker()] = val
		si.queueUsage(vm, val.Worker())
	}
}

func (si *sim) queueUsage(vm *simVM, wo model.WorkerID) {
	used := si.inUse(vm, wo)
	vm.toHolder = append(vm.toHolder, NewUsage(wo, vm.limits[wo].Version(), simSlots, used, min(used+vm.wanted[wo], simSlots)))
}

// inUse counts the requests of the VM's current process that run on the worker.
func (si *sim) inUse(vm *simVM, wo model.WorkerID) int {
	num := 0
	for _, rq := range si.running {
		if si.vms[rq.vm] == vm && rq.boot == vm.boot && rq.worker == wo {
			num++
		}
	}
	return num
}

// startRequest starts a request on worker wo if the VM with index num has a free
// credit, and reports whether it did. It takes dur by the clock of the VM.
func (si *sim) startRequest(num int, wo model.WorkerID, dur time.Duration) bool {
	vm := si.vms[num]
	if !vm.clock(si.now).Before(vm.leaseEnd) || si.inUse(vm, wo) >= vm.limits[wo].Limit() {
		return false
	}
	// The maximum request time is measured by the clock of the VM.
	dur = dur * 100 / time.Duration(vm.clockPercent)
	si.running = append(si.running, simRequest{vm: num, boot: vm.boot, worker: wo, end: si.now.Add(dur)})
	return true
}

// advance moves the time forward by dur and removes the requests that have ended.
func (si *sim) advance(dur time.Duration) {
	si.now = si.now.Add(dur)
	kept := si.running[:0]
	for _, rq := range si.running {
		if si.now.Before(rq.end) {
			kept = append(kept, rq)
		}
	}
	si.running = kept
}

func (si *sim) tick() {
	for i := range si.lenders {
		si.stepLender(i, Tick{})
	}
	for _, vm := range si.vms {
		for _, wo := range simWorkers {
			si.queueUsage(vm, wo)
		}
		si.stepHolder(vm, Tick{})
	}
}

// runWithoutFaults advances the time by dur and delivers all messages without
// loss or delay.
func (si *sim) runWithoutFaults(dur time.Duration) {
	for end := si.now.Add(dur); si.now.Before(end); si.advance(50 * time.Millisecond) {
		si.renewLeader()
		si.tick()
		for range 20 {
			for num := len(si.inTransit); num > 0; num-- {
				si.deliver(si.firstDeliverable())
			}
			for _, vm := range si.vms {
				for len(vm.toRouting) > 0 {
					si.deliverToRouting(vm)
				}
				for len(vm.toHolder) > 0 {
					si.deliverToHolder(vm)
				}
			}
		}
	}
}

// firstDeliverable returns the index of the first message of a VM that is not
// partitioned, or 0 if there is none.
func (si *sim) firstDeliverable() int {
	for i, msg := range si.inTransit {
		if si.partitioned < 0 || si.vms[si.partitioned].name != vmOf(msg) {
			return i
		}
	}
	return 0
}

// deliverToHolder delivers the oldest usage to the holder of a VM, if there is
// one.
func (si *sim) deliverToHolder(vm *simVM) {
	if len(vm.toHolder) > 0 {
		us := vm.toHolder[0]
		vm.toHolder = vm.toHolder[1:]
		si.stepHolder(vm, us)
	}
}

// overcommitted returns a worker with more running requests than slots, and
// their number, which is 0 if there is no such worker.
func (si *sim) overcommitted() (model.WorkerID, int) {
	nums := map[model.WorkerID]int{}
	for _, rq := range si.running {
		nums[rq.worker]++
	}
	for _, wo := range simWorkers {
		if nums[wo] > simSlots {
			return wo, nums[wo]
		}
	}
	return "", 0
}
