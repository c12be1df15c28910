package slots

import (
	"container/heap"
	"fmt"
	"slices"
	"testing"
	"time"

	"guavarail/core/model"
)

// The simulated data centre of the sharing benchmark: two workers with 8 slots
// behind three entry VMs, 0.5 ms between VMs, requests of 10 ms.
const (
	shareDelay = 500 * time.Microsecond
	shareWork  = 10 * time.Millisecond
	shareEnd   = 30 * time.Second
)

// moment is one event of the simulation.
type moment struct {
	at    time.Duration
	order int
	run   func()
}

// timeline runs events in order of virtual time.
type timeline struct {
	now   time.Duration
	next  []moment
	count int
}

// Len returns the number of events.
func (tl *timeline) Len() int { return len(tl.next) }

// Less orders by time, then by creation.
func (tl *timeline) Less(i, j int) bool {
	if tl.next[i].at != tl.next[j].at {
		return tl.next[i].at < tl.next[j].at
	}
	return tl.next[i].order < tl.next[j].order
}

// Swap exchanges two events.
func (tl *timeline) Swap(i, j int) { tl.next[i], tl.next[j] = tl.next[j], tl.next[i] }

// Push appends an event.
func (tl *timeline) Push(val any) { tl.next = append(tl.next, val.(moment)) }

// Pop removes the last event.
func (tl *timeline) Pop() any {
	last := tl.next[len(tl.next)-1]
	tl.next = tl.next[:len(tl.next)-1]
	return last
}

func (tl *timeline) after(dur time.Duration, run func()) {
	tl.count++
	heap.Push(tl, moment{at: tl.now + dur, order: tl.count, run: run})
}

func (tl *timeline) run() {
	for len(tl.next) > 0 && tl.next[0].at <= shareEnd {
		mo := heap.Pop(tl).(moment)
		tl.now = mo.at
		mo.run()
	}
}

// sharing is one way to share the slots of a worker.
type sharing interface {
	// arrive handles a request at a VM; done is called with the response there.
	arrive(vm int, done func())
	messages() int
	peak() int
}

// worker runs requests and counts how many run at once.
type benchWorker struct{ running, most int }

func (bw *benchWorker) run(tl *timeline, done func()) {
	bw.running++
	bw.most = max(bw.most, bw.running)
	tl.after(shareWork, func() {
		bw.running--
		done()
	})
}

// owned sends each request through the VM that owns the worker, which holds the
// queue. Every second worker's owner is another VM.
type owned struct {
	tl      *timeline
	workers [2]benchWorker
	waiting [2][]func()
	turn    int
	sent    int
}

func (ow *owned) arrive(vm int, done func()) {
	ow.turn++
	wo := ow.turn % len(ow.workers)
	hop := shareDelay
	if wo == vm {
		hop = 0
	} else {
		ow.sent += 2
	}
	ow.tl.after(hop, func() {
		ow.waiting[wo] = append(ow.waiting[wo], func() { ow.tl.after(hop, done) })
		ow.pump(wo)
	})
}

func (ow *owned) pump(wo int) {
	for ow.workers[wo].running < simSlots && len(ow.waiting[wo]) > 0 {
		done := ow.waiting[wo][0]
		ow.waiting[wo] = ow.waiting[wo][1:]
		ow.workers[wo].run(ow.tl, func() {
			done()
			ow.pump(wo)
		})
	}
}

func (ow *owned) messages() int { return ow.sent }
func (ow *owned) peak() int     { return max(ow.workers[0].most, ow.workers[1].most) }

// estimated lets each VM count the slots of both workers from reports that are
// 100 ms old, and sends at once when the estimate shows a free slot.
type estimated struct {
	tl      *timeline
	workers [2]benchWorker
	seen    [3][2]int
	waiting [3][]func()
	sent    int
}

func newEstimated(tl *timeline) *estimated {
	es := &estimated{tl: tl}
	var refresh func()
	refresh = func() {
		for vm := range es.seen {
			es.seen[vm] = [2]int{es.workers[0].running, es.workers[1].running}
			es.sent += 2
			es.pump(vm)
		}
		tl.after(100*time.Millisecond, refresh)
	}
	refresh()
	return es
}

func (es *estimated) arrive(vm int, done func()) {
	es.waiting[vm] = append(es.waiting[vm], done)
	es.pump(vm)
}

func (es *estimated) pump(vm int) {
	for len(es.waiting[vm]) > 0 {
		wo := 0
		if es.seen[vm][1] < es.seen[vm][0] {
			wo = 1
		}
		if es.seen[vm][wo] >= simSlots {
			return
		}
		done := es.waiting[vm][0]
		es.waiting[vm] = es.waiting[vm][1:]
		es.seen[vm][wo]++
		es.workers[wo].run(es.tl, func() {
			es.seen[vm][wo] = max(es.seen[vm][wo]-1, 0)
			done()
			es.pump(vm)
		})
	}
}

func (es *estimated) messages() int { return es.sent }
func (es *estimated) peak() int     { return max(es.workers[0].most, es.workers[1].most) }

// leased uses the lender and holders of this package.
type leased struct {
	tl      *timeline
	lender  Lender
	vms     [3]*leasedVM
	workers [2]benchWorker
	sent    int
}

type leasedVM struct {
	num     int
	holder  *Holder
	limits  [2]Credits
	lease   model.Instant
	inUse   [2]int
	waiting []func()
}

func newLeased(tl *timeline) *leased {
	ls := &leased{tl: tl}
	for i := range ls.vms {
		ls.vms[i] = &leasedVM{num: i, holder: NewHolder(model.VMID(fmt.Sprint("vm-", i)), 1)}
	}
	ls.lend(NewLead(1, model.Instant(time.Hour), nil))
	var tick func()
	tick = func() {
		ls.lend(Tick{})
		for _, vm := range ls.vms {
			ls.report(vm)
			ls.hold(vm, Tick{})
		}
		tl.after(20*time.Millisecond, tick)
	}
	tick()
	return ls
}

func (ls *leased) instant() model.Instant { return model.Instant(ls.tl.now + time.Second) }

func (ls *leased) lend(in Input) {
	for _, eff := range ls.lender.Step(ls.instant(), in) {
		gr := eff.(Grant)
		ls.sent++
		for _, vm := range ls.vms {
			if vm.holder.vm == gr.Spec().VM {
				ls.tl.after(shareDelay, func() { ls.hold(vm, gr) })
			}
		}
	}
}

func (ls *leased) hold(vm *leasedVM, in Input) {
	for _, eff := range vm.holder.Step(ls.instant(), in) {
		switch msg := eff.(type) {
		case Report:
			ls.sent++
			ls.tl.after(shareDelay, func() { ls.lend(msg) })
		case Renewed:
			vm.lease = msg.Until()
		case Credits:
			wo := slices.Index(simWorkers, msg.Worker())
			vm.limits[wo] = msg
			ls.hold(vm, ls.usage(vm, wo))
		}
	}
	ls.pump(vm)
}

func (ls *leased) usage(vm *leasedVM, wo int) Usage {
	extra := (len(vm.waiting) + 1) / 2
	return NewUsage(simWorkers[wo], vm.limits[wo].Version(), simSlots, vm.inUse[wo], min(vm.inUse[wo]+extra, simSlots))
}

func (ls *leased) report(vm *leasedVM) {
	for wo := range simWorkers {
		ls.hold(vm, ls.usage(vm, wo))
	}
}

func (ls *leased) arrive(num int, done func()) {
	vm := ls.vms[num]
	vm.waiting = append(vm.waiting, done)
	ls.pump(vm)
}

func (ls *leased) pump(vm *leasedVM) {
	for len(vm.waiting) > 0 && ls.instant().Before(vm.lease) {
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
		ls.workers[wo].run(ls.tl, func() {
			vm.inUse[wo]--
			done()
			ls.pump(vm)
		})
	}
}

func (ls *leased) messages() int { return ls.sent }
func (ls *leased) peak() int     { return max(ls.workers[0].most, ls.workers[1].most) }

// splitMix is the seeded source of the arrival times.
type splitMix uint64

func (sm *splitMix) next() uint64 {
	*sm += 0x9e3779b97f4a7c15
	val := uint64(*sm)
	val = (val ^ (val >> 30)) * 0xbf58476d1ce4e5b9
	val = (val ^ (val >> 27)) * 0x94d049bb133111eb
	return val ^ (val >> 31)
}

// load sends requests with a share of skew percent to the first VM, at percent
// of what both workers can serve, and returns the sorted latencies.
func load(tl *timeline, sh sharing, percent, skew int) []time.Duration {
	var out []time.Duration
	rnd := splitMix(42)
	gap := shareWork * 100 / time.Duration(2*simSlots*percent)
	var next func()
	next = func() {
		vm := 0
		if pick := int(rnd.next() % 100); pick >= skew {
			vm = 1 + pick%2
		}
		at := tl.now
		sh.arrive(vm, func() { out = append(out, tl.now-at) })
		// Distances from 0 to twice the mean.
		tl.after(time.Duration(rnd.next()%uint64(2*gap)), next)
	}
	tl.after(time.Second, next)
	tl.run()
	slices.Sort(out)
	return out
}

// BenchmarkSharing compares slot credits with one owner VM for each worker and
// with local estimates, in virtual time.
func BenchmarkSharing(b *testing.B) {
	for range b.N {
		for _, skew := range []int{34, 90} {
			for _, percent := range []int{50, 80, 95} {
				for _, name := range []string{"credits", "owner", "estimates"} {
					tl := &timeline{}
					var sh sharing
					switch name {
					case "credits":
						sh = newLeased(tl)
					case "owner":
						sh = &owned{tl: tl}
					default:
						sh = newEstimated(tl)
					}
					out := load(tl, sh, percent, skew)
					fmt.Printf("%-10s load %2d%%  to one VM %2d%%  p50 %6.2f ms  p99 %7.2f ms  answered %6d  messages/s %5d  peak %d of %d\n",
						name, percent, skew, out[len(out)/2].Seconds()*1000, out[len(out)*99/100].Seconds()*1000,
						len(out), sh.messages()/int(shareEnd/time.Second), sh.peak(), simSlots)
				}
			}
		}
	}
}
