package demo

import (
	"context"
	"fmt"

	"guavarail/io/fake/worker"
)

// leave lets a backend server leave and checks that it gets no new request
// after the bound.
func (pla *player) leave(ctx context.Context, name string) {
	wor := pla.sit.workers[name]
	if wor == nil {
		return
	}
	wor.Leave()
	pla.tell("backend server on " + name + " is leaving")
	if pla.cli.Wait(ctx, startBound) != nil {
		return
	}
	before := total(wor)
	if pla.cli.Wait(ctx, startBound) != nil {
		return
	}
	if after := total(wor); after > before {
		pla.sit.ora.violate("P8", fmt.Sprintf("%s got %d new requests after it left", name, after-before))
	}
}

// total returns the requests that a backend server ran.
func total(wor *worker.Worker) (num int) {
	acc, err := wor.RequestStats()
	if err != nil {
		return 0
	}
	for _, runs := range acc.Runs() {
		num += runs
	}
	return num
}

// restart stops an entry VM as planned and starts it again.
func (pla *player) restart(ctx context.Context, name string) {
	evm := pla.sit.vm(name)
	if evm == nil {
		return
	}
	pla.tell("entry VM " + name + " is shut down")
	ctx, cancel := context.WithTimeout(ctx, drainTime)
	defer cancel()
	if err := evm.nod.Load().Drain(ctx); err != nil {
		pla.sit.ora.violate("P9", name+": "+err.Error())
	}
	evm.stop()
	if err := pla.sit.startVM(evm); err != nil {
		pla.sit.ora.violate("P9", name+" did not start again: "+err.Error())
		return
	}
	pla.tell("entry VM " + name + " is started again")
}
