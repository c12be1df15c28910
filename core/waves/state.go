package waves

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"guavarail/core/model"
)

// maxRunning bounds the waves that are carried out at the same time, and so the memory that
// they take.
const maxRunning = 100

// Number identifies a wave.
type Number int64

// MachineID identifies a machine of the platform.
type MachineID string

// Phase is what is known of a machine of a wave.
type Phase uint8

// The phases of a machine.
const (
	// Waiting means that no order for the maintenance can have been carried out.
	Waiting Phase = iota
	// Ordered means that the order may have been sent, so that the machine may be down.
	Ordered
	// Begun means that the platform has confirmed the order.
	Begun
	// Gone means that the machine no longer exists.
	Gone
)

var phaseNames = [...]string{"waiting", "ordered", "begun", "gone"}

// String returns the name for logs.
func (ph Phase) String() string {
	if int(ph) < len(phaseNames) {
		return phaseNames[ph]
	}
	return "unknown"
}

// Spec describes a wave.
type Spec struct {
	Number Number
	// Machines are not empty and differ.
	Machines []MachineID
	// Limit is how many machines may be down at the same time, at least 1.
	Limit int
	// EndMs is when the maintenance of all machines should have ended, by the wall clock of
	// the leader that accepted the wave, in milliseconds since 1970.
	EndMs int64
	// Duration is the time from the acceptance until EndMs.
	Duration time.Duration
}

// Machine is the replicated state of one machine of a wave.
type Machine struct {
	ID    MachineID
	Phase Phase
	// Worker is the machine's worker when the order was decided, empty before.
	Worker model.WorkerID
}

// Record is a wave in a snapshot. Machines is empty once the wave is completed.
type Record struct {
	Spec     Spec
	Machines []Machine
}

// Op is an operation on the waves. The zero value changes nothing.
type Op struct {
	spec    Spec
	number  Number
	machine Machine
	kind    opKind
}

// opKind is what an operation does.
type opKind uint8

const (
	opNone opKind = iota
	opAccept
	opMark
)

// Accept returns the operation that accepts a wave.
func Accept(spec Spec) Op { return Op{kind: opAccept, spec: spec, number: spec.Number} }

// Mark returns the operation that sets what is known of a machine of a wave.
func Mark(num Number, mac Machine) Op { return Op{kind: opMark, number: num, machine: mac} }

// Number returns the wave that the operation applies to.
func (op Op) Number() Number { return op.number }

// Spec returns the wave that is accepted, and false for other operations.
func (op Op) Spec() (Spec, bool) { return op.spec, op.kind == opAccept }

// Machine returns the machine of a Mark, and false for other operations.
func (op Op) Machine() (Machine, bool) { return op.machine, op.kind == opMark }

// Verdict is the result of applying an operation.
type Verdict uint8

// The verdicts.
const (
	Applied Verdict = iota
	// Repeated means that the same wave was accepted before; nothing changed.
	Repeated
	// Conflict means that another wave of the same number is running; nothing changed.
	Conflict
	// Full means that too many waves are running; nothing changed.
	Full
	// Stale means that the machine has changed since the operation was decided.
	Stale
)

// wave is the state of one wave.
type wave struct {
	spec Spec
	// machines is ordered by identifier, and nil once the wave is completed.
	machines []Machine
}

func (wa *wave) find(id MachineID) *Machine {
	pos, ok := slices.BinarySearchFunc(wa.machines, id, func(mac Machine, id MachineID) int { return cmp.Compare(mac.ID, id) })
	if !ok {
		return nil
	}
	return &wa.machines[pos]
}

// count returns how many machines are in a phase.
func (wa *wave) count(ph Phase) int {
	num := 0
	for _, mac := range wa.machines {
		if mac.Phase == ph {
			num++
		}
	}
	return num
}

// State is the replicated state of all waves. The zero value is empty.
type State struct {
	waves map[Number]*wave
	// running has the numbers of the waves that are not completed, in ascending order.
	running []Number
}

// Running returns how many waves are not completed.
func (st *State) Running() int { return len(st.running) }

// Completed reports whether a wave is completed. known is false if no such wave was accepted.
func (st *State) Completed(num Number) (completed, known bool) {
	wa, ok := st.waves[num]
	return ok && wa.machines == nil, ok
}

// Apply applies an operation.
func (st *State) Apply(op Op) Verdict {
	switch op.kind {
	case opAccept:
		return st.accept(op.spec)
	case opMark:
		return st.mark(op.number, op.machine)
	}
	return Stale
}

func (st *State) accept(spec Spec) Verdict {
	if wa, ok := st.waves[spec.Number]; ok {
		if wa.machines != nil && !wa.same(spec) {
			return Conflict
		}
		return Repeated
	}
	if len(st.running) >= maxRunning {
		return Full
	}
	wa := &wave{spec: spec}
	for _, id := range spec.Machines {
		wa.machines = append(wa.machines, Machine{ID: id})
	}
	slices.SortFunc(wa.machines, func(a, b Machine) int { return cmp.Compare(a.ID, b.ID) })
	wa.spec.Machines = nil
	st.insert(wa)
	return Applied
}

// same reports whether spec asks for the same as the wave. The end differs between the
// submissions of one wave.
func (wa *wave) same(spec Spec) bool {
	ids := slices.Sorted(slices.Values(spec.Machines))
	return wa.spec.Limit == spec.Limit && wa.spec.Duration == spec.Duration &&
		slices.EqualFunc(ids, wa.machines, func(id MachineID, mac Machine) bool { return id == mac.ID })
}

// insert adds a wave that is not known yet.
func (st *State) insert(wa *wave) {
	if st.waves == nil {
		st.waves = map[Number]*wave{}
	}
	st.waves[wa.spec.Number] = wa
	if wa.machines != nil {
		pos, _ := slices.BinarySearch(st.running, wa.spec.Number)
		st.running = slices.Insert(st.running, pos, wa.spec.Number)
	}
}

// mark sets the phase of a machine. No more machines than the limit become Ordered.
func (st *State) mark(num Number, next Machine) Verdict {
	wa, ok := st.waves[num]
	if !ok {
		return Stale
	}
	mac := wa.find(next.ID)
	if mac == nil || !mayFollow(mac.Phase, next.Phase) || next.Phase == Ordered && wa.count(Ordered) >= wa.spec.Limit {
		return Stale
	}
	*mac = next
	if wa.count(Waiting)+wa.count(Ordered) == 0 {
		wa.machines = nil
		pos, _ := slices.BinarySearch(st.running, num)
		st.running = slices.Delete(st.running, pos, pos+1)
	}
	return Applied
}

// mayFollow reports whether a machine may go from one phase to another.
func mayFollow(from, to Phase) bool {
	switch from {
	case Waiting:
		return to == Ordered || to == Gone
	case Ordered:
		return to == Waiting || to == Begun || to == Gone
	}
	return false
}

// Snapshot returns a copy of the waves, ordered by number.
func (st *State) Snapshot() []Record {
	var out []Record
	for _, num := range slices.Sorted(maps.Keys(st.waves)) {
		wa := st.waves[num]
		out = append(out, Record{Spec: wa.spec, Machines: slices.Clone(wa.machines)})
	}
	return out
}

// Restore replaces the state with a snapshot.
func (st *State) Restore(recs []Record) {
	*st = State{}
	for _, rec := range recs {
		wa := &wave{spec: rec.Spec}
		if len(rec.Machines) > 0 {
			wa.machines = slices.Clone(rec.Machines)
		}
		st.insert(wa)
	}
}
