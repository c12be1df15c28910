package slots

import "guavarail/core/model"

// Usage reports how many slots of a worker the routing machine (route.Machine)
// uses.
type Usage struct {
	worker  model.WorkerID
	version uint64
	slots   int
	inUse   int
	wanted  int
}

// NewUsage returns the usage of worker wo. version is that of the Credits that
// the routing machine enforces, 0 before the first. slots is the number that the
// worker announced, 0 if it has no backend server. inUse is the number of slots
// that requests of this VM hold, and wanted the number of credits that would
// serve the VM's load.
func NewUsage(wo model.WorkerID, version uint64, slots, inUse, wanted int) Usage {
	return Usage{worker: wo, version: version, slots: slots, inUse: inUse, wanted: wanted}
}

// Shutdown starts the planned shutdown of the VM: the holder returns each credit
// as soon as it is not in use.
type Shutdown struct{}

// Credits sets the limit that the routing machine must enforce from now on. The
// routing machine confirms the version with a Usage.
type Credits struct {
	worker  model.WorkerID
	limit   int
	version uint64
}

// Worker returns the identifier of the worker.
func (cr Credits) Worker() model.WorkerID { return cr.worker }

// Limit returns the number of the worker's slots that the VM may use.
func (cr Credits) Limit() int { return cr.limit }

// Version returns the version of the limit, which grows with each change.
func (cr Credits) Version() uint64 { return cr.version }

// LeaseRenewed reports that the lease was renewed and when it ends.
type LeaseRenewed struct{ until model.Instant }

// Until returns the end of the lease, by the clock of this VM.
func (re LeaseRenewed) Until() model.Instant { return re.until }

func (Usage) input()         {}
func (Shutdown) input()      {}
func (Credits) effect()      {}
func (LeaseRenewed) effect() {}
