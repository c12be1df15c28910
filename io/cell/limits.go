package cell

import (
	"strconv"
	"sync"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/io/limit"
	"guavarail/io/wire"
)

// limitsInForce holds the limits of requests that a VM knows. The zero value has none.
// Ticks of the group's actor and the discovery of the leader update it, and servers watch
// it, so a mutex guards it.
type limitsInForce struct {
	// mu guards the fields below and orders the calls of watch.
	mu     sync.Mutex
	limits cell.Limits
	// watch is nil before watchLimits.
	watch func(lim cell.Limits)
}

// set replaces the limits and reports whether they have changed.
func (lif *limitsInForce) set(lim cell.Limits) bool {
	lif.mu.Lock()
	defer lif.mu.Unlock()
	if lif.limits == lim {
		return false
	}
	lif.limits = lim
	if lif.watch != nil {
		lif.watch(lim)
	}
	return true
}

// get returns the limits.
func (lif *limitsInForce) get() cell.Limits {
	lif.mu.Lock()
	defer lif.mu.Unlock()
	return lif.limits
}

// Limits returns the limits of a single request in the configuration in force, as far as
// this VM knows it; the zero value before the first configuration.
func (vm *VM) Limits() cell.Limits { return vm.limits.get() }

// WatchLimits calls watch with the limits in force, now and after each change. watch must
// not block. It replaces the one that was set before.
func (vm *VM) WatchLimits(watch func(lim cell.Limits)) {
	vm.limits.mu.Lock()
	defer vm.limits.mu.Unlock()
	vm.limits.watch = watch
	watch(vm.limits.limits)
}

// Budget returns the memory and the connections that the listeners of this VM share.
func (vm *VM) Budget() *limit.Budget { return vm.budget }

// setLimits replaces the limits in force.
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
