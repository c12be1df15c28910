package demo

import (
	"context"
	"fmt"

	"guavarail/io/fake/worker"
)

// leave makes the backend server of the named worker leave, like one that is about to
// stop, and checks that it gets no new request from noNewWorkAfter later on (P8). The
// check lasts another noNewWorkAfter.
func (pla *player) leave(ctx context.Context, name string) {
	wor := pla.clu.workers[name]
	if wor == nil {
		return
	}
	wor.Leave()
	pla.progress("backend server on " + name + " is leaving")
	if pla.cli.Wait(ctx, noNewWorkAfter) != nil {
		return
	}
	before := requestsRun(wor)
	if pla.cli.Wait(ctx, noNewWorkAfter) != nil {
		return
	}
	if after := requestsRun(wor); after > before {
		pla.clu.ora.addViolation("P8", fmt.Sprintf("%s got %d new requests after it left", name, after-before))
	}
}

// requestsRun returns the number of requests that a worker's backend server has
// started; 0 on an error.
func requestsRun(wor *worker.Worker) (num int) {
	sta, err := wor.RequestStats()
	if err != nil {
		return 0
	}
	for _, runs := range sta.Runs() {
		num += runs
	}
	return num
}

// restart shuts the named entry VM down, as in a planned shutdown, and starts it
// again. A failed shutdown or start counts as a violation of P9.
func (pla *player) restart(ctx context.Context, name string) {
	evm := pla.clu.entryVM(name)
	if evm == nil {
		return
	}
	pla.progress("entry VM " + name + " is shut down")
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := evm.nod.Load().Drain(ctx); err != nil {
		pla.clu.ora.addViolation("P9", name+": "+err.Error())
	}
	evm.stop()
	if err := pla.clu.startEntryVM(evm); err != nil {
		pla.clu.ora.addViolation("P9", name+" did not start again: "+err.Error())
		return
	}
	pla.progress("entry VM " + name + " is started again")
}
