package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/io/disk"
)

// transferTimeout bounds the leadership transfers of a planned shutdown.
const transferTimeout = 3 * time.Second

// Drain prepares a planned shutdown: the VM reports that it is not ready,
// transfers its leadership to other VMs and completes the requests in flight
// within the drain timeout of the settings. It returns an error if requests had
// to be aborted.
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

// transferLeadership gives up the leadership of every group that this VM leads.
// The only member of a group stays its leader.
func (nod *Node) transferLeadership(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	for _, transfer := range nod.transfers {
		if err := transfer(ctx); err != nil {
			nod.log.Debug("leadership transfer failed", "error", err)
		}
	}
}

// markCleanStop records the planned shutdown on disk, so that the next process
// of this VM may use slots immediately.
func (nod *Node) markCleanStop() {
	dir, ok := nod.settings.DataDir()
	if !ok {
		return
	}
	if err := disk.MarkCleanStop(disk.OS{}, dir); err != nil {
		nod.log.Warn("failed to record the planned shutdown", "error", err)
	}
}

// takeCleanStop reads and removes the shutdown record of the previous process.
func (nod *Node) takeCleanStop() error {
	dir, ok := nod.settings.DataDir()
	if !ok {
		return nil
	}
	clean, err := disk.TakeCleanStop(disk.OS{}, dir)
	nod.cleanStart = clean
	return errors.Trace(err)
}
