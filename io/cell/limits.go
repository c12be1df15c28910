package cell

import (
	"strconv"
	"sync"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/io/limit"
	"guavarail/io/wire"
)

// requestLimits holds the limits of a request that a VM knows. The zero value has none.
// Ticks of the group's actor and the discovery of the leader update them, and servers watch
// them, so a mutex guards them.
type requestLimits struct {
	// mu guards the fields below and orders the calls of onChange.
	mu     sync.Mutex
	limits cell.Limits
	// onChange is nil before WatchLimits.
	onChange func(lim cell.Limits)
}

// set replaces the limits and reports whether they have changed.
func (rl *requestLimits) set(lim cell.Limits) bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.limits == lim {
		return false
	}
	rl.limits = lim
	if rl.onChange != nil {
		rl.onChange(lim)
	}
	return true
}

// get returns the limits.
func (rl *requestLimits) get() cell.Limits {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.limits
}

// Limits returns the limits of a single request in the configuration in effect, as far as
// this VM knows it; the zero value before the first configuration.
func (vm *VM) Limits() cell.Limits { return vm.limits.get() }

// WatchLimits calls watch with the limits in effect, now and after each change. watch must
// not block. It replaces the one that was set before.
func (vm *VM) WatchLimits(watch func(lim cell.Limits)) {
	vm.limits.mu.Lock()
	defer vm.limits.mu.Unlock()
	vm.limits.onChange = watch
	watch(vm.limits.limits)
}

// Budget returns the memory and the connections that the listeners of this VM share.
func (vm *VM) Budget() *limit.Budget { return vm.budget }

// setLimits replaces the limits in effect and records a change.
func (vm *VM) setLimits(lim cell.Limits) {
	if vm.limits.set(lim) {
		vm.RecordEvent(event.New("limitsChanged", event.Subject{VM: vm.settings.Name()}, event.NewField("maxHeaderBytes", strconv.FormatInt(lim.MaxHeader, 10)),
			event.NewField("maxBodyBytes", strconv.FormatInt(lim.MaxBody, 10)), event.NewField("headerTimeoutMs", milliseconds(lim.HeaderTimeout)),
			event.NewField("idleTimeoutMs", milliseconds(lim.IdleTimeout))))
	}
}

// learnLimits takes over the limits from the answer of the leader. A VM that replicates
// the document has them from there.
func (vm *VM) learnLimits(wel *wire.CellWelcome) {
	if _, ok := vm.settings.DataDir(); !ok && wel.GetLeased() {
		vm.setLimits(wire.CellLimitsFromProto(wel.GetLimits()))
	}
}
