package slots

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// The sharing benchmark simulates a data centre in virtual time: three entry VMs
// send requests to two workers with 8 slots each.
const (
	// benchDelay is how long a message between VMs takes.
	benchDelay = 500 * time.Microsecond
	// benchRequestTime is how long a request holds a slot.
	benchRequestTime = 10 * time.Millisecond
	benchDuration    = 30 * time.Second
)

// benchEvent is one event of the benchmark; seq orders events at the same time.
type benchEvent struct {
	at  time.Duration
	seq int
	run func()
}

// eventQueue runs events in order of virtual time.
type eventQueue struct {
	now     time.Duration
	events  []benchEvent
	lastSeq int
}

// Len returns the number of events.
func (eq *eventQueue) Len() int { return len(eq.events) }

// Less orders events by time, then by when they were added.
func (eq *eventQueue) Less(i, j int) bool {
	if eq.events[i].at != eq.events[j].at {
		return eq.events[i].at < eq.events[j].at
	}
	return eq.events[i].seq < eq.events[j].seq
}

// Swap exchanges two events.
func (eq *eventQueue) Swap(i, j int) { eq.events[i], eq.events[j] = eq.events[j], eq.events[i] }

// Push appends an event.
func (eq *eventQueue) Push(val any) { eq.events = append(eq.events, val.(benchEvent)) }

// Pop removes the last event.
func (eq *eventQueue) Pop() any {
	last := eq.events[len(eq.events)-1]
	eq.events = eq.events[:len(eq.events)-1]
	return last
}

// after adds an event that calls run after dur of virtual time.
func (eq *eventQueue) after(dur time.Duration, run func()) {
	eq.lastSeq++
	heap.Push(eq, benchEvent{at: eq.now + dur, seq: eq.lastSeq, run: run})
}

// run processes the events in order up to benchDuration.
func (eq *eventQueue) run() {
	for len(eq.events) > 0 && eq.events[0].at <= benchDuration {
		ev := heap.Pop(eq).(benchEvent)
		eq.now = ev.at
		ev.run()
	}
}

// sharingPolicy is a way to share the slots of the workers between the VMs.
type sharingPolicy interface {
	// arrive handles a request at the VM with index vm and calls done when the
	// response is back there.
	arrive(vm int, done func())
	// messages returns the number of messages between VMs.
	messages() int
	// peakInUse returns the largest number of slots of one worker in use at once.
	peakInUse() int
}

// benchWorker runs requests. It counts how many run and the most that ran at
// once, without limiting them.
type benchWorker struct{ running, peak int }

func (bw *benchWorker) run(eq *eventQueue, done func()) {
	bw.running++
	bw.peak = max(bw.peak, bw.running)
	eq.after(benchRequestTime, func() {
		bw.running--
		done()
	})
}

// ownerPolicy alternates between the workers and sends each request through the
// VM that owns the worker and holds its queue. VM 0 owns worker 0, VM 1 owns
// worker 1.
type ownerPolicy struct {
	eq       *eventQueue
	workers  [2]benchWorker
	waiting  [2][]func()
	arrivals int
	sent     int
}

func (op *ownerPolicy) arrive(vm int, done func()) {
	op.arrivals++
	wo := op.arrivals % len(op.workers)
	delay := benchDelay
	if wo == vm {
		delay = 0
	} else {
		op.sent += 2
	}
	op.eq.after(delay, func() {
		op.waiting[wo] = append(op.waiting[wo], func() { op.eq.after(delay, done) })
		op.dispatchWaiting(wo)
	})
}

func (op *ownerPolicy) dispatchWaiting(wo int) {
	for op.workers[wo].running < simSlots && len(op.waiting[wo]) > 0 {
		done := op.waiting[wo][0]
		op.waiting[wo] = op.waiting[wo][1:]
		op.workers[wo].run(op.eq, func() {
			done()
			op.dispatchWaiting(wo)
		})
	}
}

func (op *ownerPolicy) messages() int  { return op.sent }
func (op *ownerPolicy) peakInUse() int { return max(op.workers[0].peak, op.workers[1].peak) }

// estimatePolicy gives each VM an estimate of the slots in use on each worker.
// Every 100 ms it is set to the actual number; in between, the VM counts only its
// own requests. A VM sends a request if its estimate shows a free slot, so all
// VMs together may exceed the slots.
type estimatePolicy struct {
	eq      *eventQueue
	workers [2]benchWorker
	inUse   [3][2]int
	waiting [3][]func()
	sent    int
}

func newEstimatePolicy(eq *eventQueue) *estimatePolicy {
	ep := &estimatePolicy{eq: eq}
	var refresh func()
	refresh = func() {
		for vm := range ep.inUse {
			ep.inUse[vm] = [2]int{ep.workers[0].running, ep.workers[1].running}
			ep.sent += 2
			ep.dispatchWaiting(vm)
		}
		eq.after(100*time.Millisecond, refresh)
	}
	refresh()
	return ep
}

func (ep *estimatePolicy) arrive(vm int, done func()) {
	ep.waiting[vm] = append(ep.waiting[vm], done)
	ep.dispatchWaiting(vm)
}

func (ep *estimatePolicy) dispatchWaiting(vm int) {
	for len(ep.waiting[vm]) > 0 {
		wo := 0
		if ep.inUse[vm][1] < ep.inUse[vm][0] {
			wo = 1
		}
		if ep.inUse[vm][wo] >= simSlots {
			return
		}
		done := ep.waiting[vm][0]
		ep.waiting[vm] = ep.waiting[vm][1:]
		ep.inUse[vm][wo]++
		ep.workers[wo].run(ep.eq, func() {
			ep.inUse[vm][wo] = max(ep.inUse[vm][wo]-1, 0)
			done()
			ep.dispatchWaiting(vm)
		})
	}
}

func (ep *estimatePolicy) messages() int  { return ep.sent }
func (ep *estimatePolicy) peakInUse() int { return max(ep.workers[0].peak, ep.workers[1].peak) }

// creditPolicy uses the Lender and Holders of this package.
type creditPolicy struct {
	eq      *eventQueue
	lender  Lender
	vms     [3]*creditVM
	workers [2]benchWorker
	sent    int
}

type creditVM struct {
	index    int
	holder   *Holder
	limits   [2]Credits
	leaseEnd model.Instant
	inUse    [2]int
	waiting  []func()
}

func newCreditPolicy(eq *eventQueue) *creditPolicy {
	cp := &creditPolicy{eq: eq}
	for i := range cp.vms {
		cp.vms[i] = &creditVM{index: i, holder: NewHolder(model.VMID(fmt.Sprint("vm-", i)), 1)}
	}
	cp.stepLender(NewLeadership(1, model.Instant(time.Hour), nil))
	var tick func()
	tick = func() {
		cp.stepLender(Tick{})
		for _, vm := range cp.vms {
			cp.reportUsage(vm)
			cp.stepHolder(vm, Tick{})
		}
		eq.after(20*time.Millisecond, tick)
	}
	tick()
	return cp
}

// instant returns the virtual time for the lender and the holders.
func (cp *creditPolicy) instant() model.Instant { return model.Instant(cp.eq.now + time.Second) }

func (cp *creditPolicy) stepLender(in Input) {
	for _, eff := range cp.lender.Step(cp.instant(), in) {
		gr := eff.(Grant)
		cp.sent++
		for _, vm := range cp.vms {
			if vm.holder.vm == gr.Spec().VM {
				cp.eq.after(benchDelay, func() { cp.stepHolder(vm, gr) })
			}
		}
	}
}

func (cp *creditPolicy) stepHolder(vm *creditVM, in Input) {
	for _, eff := range vm.holder.Step(cp.instant(), in) {
		switch msg := eff.(type) {
		case Report:
			cp.sent++
			cp.eq.after(benchDelay, func() { cp.stepLender(msg) })
		case LeaseRenewed:
			vm.leaseEnd = msg.Until()
		case Credits:
			wo := slices.Index(simWorkers, msg.Worker())
			vm.limits[wo] = msg
			cp.stepHolder(vm, cp.usage(vm, wo))
		}
	}
	cp.dispatchWaiting(vm)
}

func (cp *creditPolicy) usage(vm *creditVM, wo int) Usage {
	extra := (len(vm.waiting) + 1) / 2
	return NewUsage(simWorkers[wo], vm.limits[wo].Version(), simSlots, vm.inUse[wo], min(vm.inUse[wo]+extra, simSlots))
}

func (cp *creditPolicy) reportUsage(vm *creditVM) {
	for wo := range simWorkers {
		cp.stepHolder(vm, cp.usage(vm, wo))
	}
}

func (cp *creditPolicy) arrive(num int, done func()) {
	vm := cp.vms[num]
	vm.waiting = append(vm.waiting, done)
	cp.dispatchWaiting(vm)
}

func (cp *creditPolicy) dispatchWaiting(vm *creditVM) {
	for len(vm.waiting) > 0 && cp.instant().Before(vm.leaseEnd) {
		wo := 0
		if vm.limits[1].Limit()-vm.inUse[1] > vm.limits[0].Limit()-vm.inUse[0] {
			wo = 1
		}
		if vm.inUse[wo] >= vm.limits[wo].Limit() {
			return
		}
		done := vm.waiting[0]
		vm.waiting = vm.waiting[1:]
		vm.inUse[wo]++
		cp.workers[wo].run(cp.eq, func() {
			vm.inUse[wo]--
			done()
			cp.dispatchWaiting(vm)
		})
	}
}

func (cp *creditPolicy) messages() int  { return cp.sent }
func (cp *creditPolicy) peakInUse() int { return max(cp.workers[0].peak, cp.workers[1].peak) }

// splitMix64 is the pseudo-random number generator of the arrival times.
type splitMix64 uint64

func (sm *splitMix64) next() uint64 {
	*sm += 0x9e3779b97f4a7c15
	val := uint64(*sm)
	val = (val ^ (val >> 30)) * 0xbf58476d1ce4e5b9
	val = (val ^ (val >> 27)) * 0x94d049bb133111eb
	return val ^ (val >> 31)
}

// runLoad sends requests at percent of the rate that both workers can serve
// together, skew percent of them to the first VM and the rest evenly to the other
// two. It returns the sorted latencies.
func runLoad(eq *eventQueue, sp sharingPolicy, percent, skew int) []time.Duration {
	var out []time.Duration
	rnd := splitMix64(42)
	meanGap := benchRequestTime * 100 / time.Duration(2*simSlots*percent)
	var next func()
	next = func() {
		vm := 0
		if draw := int(rnd.next() % 100); draw >= skew {
			vm = 1 + draw%2
		}
		sentAt := eq.now
		sp.arrive(vm, func() { out = append(out, eq.now-sentAt) })
		// The gap is uniform from 0 to twice the mean.
		eq.after(time.Duration(rnd.next()%uint64(2*meanGap)), next)
	}
	eq.after(time.Second, next)
	eq.run()
	slices.Sort(out)
	return out
}

// BenchmarkSharing compares slot credits with an owner VM for each worker and
// with local estimates of the slots in use.
func BenchmarkSharing(b *testing.B) {
	for range b.N {
		for _, skew := range []int{34, 90} {
			for _, percent := range []int{50, 80, 95} {
				for _, name := range []string{"credits", "owner", "estimates"} {
					eq := &eventQueue{}
					var sp sharingPolicy
					switch name {
					case "credits":
						sp = newCreditPolicy(eq)
					case "owner":
						sp = &ownerPolicy{eq: eq}
					default:
						sp = newEstimatePolicy(eq)
					}
					out := runLoad(eq, sp, percent, skew)
					fmt.Printf("%-10s load %2d%%  to one VM %2d%%  p50 %6.2f ms  p99 %7.2f ms  answered %6d  messages/s %5d  peak %d of %d\n",
						name, percent, skew, out[len(out)/2].Seconds()*1000, out[len(out)*99/100].Seconds()*1000,
						len(out), sp.messages()/int(benchDuration/time.Second), sp.peakInUse(), simSlots)
				}
			}
		}
	}
}
