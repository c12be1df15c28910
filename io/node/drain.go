package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/io/disk"
)

// transferTimeout bounds all leadership transfers of a planned shutdown together.
const transferTimeout = 3 * time.Second

// Drain prepares a planned shutdown: the VM reports that it is not ready,
// transfers the leadership of its groups to other VMs, completes the requests in
// flight and returns its slot credits, within the drain timeout of the settings.
// It returns an error if requests had to be aborted.
func (nod *Node) Drain(ctx context.Context) error {
	nod.rec.Record(event.New("vmDraining", event.Subject{VM: nod.self, Centre: nod.centre}))
	ctx, cancel := context.WithTimeout(ctx, nod.settings.Limits().DrainTimeout())
	defer cancel()
	transferred := make(chan struct{})
	go func() {
		defer close(transferred)
		nod.transferLeadership(ctx)
	}()
	err := nod.entry.Drain(ctx)
	if nod.slots.shutdown(ctx) && err == nil {
		nod.markCleanStop()
	}
	<-transferred
	return err
}

// transferLeadership transfers the leadership of every group that this VM leads
// to another VM. It stays the leader of a group in which no other voter is
// reachable.
func (nod *Node) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for _, transfer := range nod.leadershipTransfers {
		if err := transfer(ctx); err != nil {
			nod.log.Debug("leadership not transferred", "error", err)
		}
	}
}

// markCleanStop records the planned shutdown on disk, so that after the restart
// the lender of slot credits need not wait for requests of this process. A VM
// without a disk writes no record.
func (nod *Node) markCleanStop() {
	dir, ok := nod.settings.DataDir()
	if !ok {
		return
	}
	if err := disk.MarkCleanStop(disk.OS{}, dir); err != nil {
		nod.log.Warn("failed to record the planned shutdown", "error", err)
	}
}

// consumeCleanStop sets cleanStart if the previous process recorded a planned
// shutdown. It removes the record, so that a crash of this process does not count
// as a planned shutdown.
func (nod *Node) consumeCleanStop() error {
	dir, ok := nod.settings.DataDir()
	if !ok {
		return nil
	}
	clean, err := disk.TakeCleanStop(disk.OS{}, dir)
	nod.cleanStart = clean
	return errors.Trace(err)
}
