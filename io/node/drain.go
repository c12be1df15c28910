package node

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/io/disk"
)

// handOverTime bounds the transfer of leadership at a planned shutdown.
const handOverTime = 3 * time.Second

// Drain prepares a planned shutdown: the VM reports not ready, hands leadership
// to other VMs and completes the requests in flight within the bound of the
// settings. An error says that requests had to be aborted.
func (nod *Node) Drain(ctx context.Context) error {
	nod.rec.Record(event.New("vmDraining", event.Subject{VM: nod.self, Centre: nod.centre}))
	ctx, cancel := context.WithTimeout(ctx, nod.set.Limits().DrainTimeout())
	defer cancel()
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		nod.handOver(ctx)
	}()
	err := nod.entry.Drain(ctx)
	if nod.slots.depart(ctx) && err == nil {
		nod.markCleanStop()
	}
	<-handed
	return err
}

// handOver transfers the leadership of every group that this VM leads. A group
// of one keeps its leader.
func (nod *Node) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	for _, transfer := range nod.transfers {
		if err := transfer(ctx); err != nil {
			nod.log.Debug("leadership not transferred", "error", err)
		}
	}
}

// markCleanStop lets the next process of this VM use slots at once.
func (nod *Node) markCleanStop() {
	dir, ok := nod.set.DataDir()
	if !ok {
		return
	}
	if err := disk.MarkCleanStop(disk.OS{}, dir); err != nil {
		nod.log.Warn("planned shutdown not recorded", "error", err)
	}
}

// takeCleanStop reads and removes the record of the last process.
func (nod *Node) takeCleanStop() error {
	dir, ok := nod.set.DataDir()
	if !ok {
		return nil
	}
	clean, err := disk.TakeCleanStop(disk.OS{}, dir)
	nod.cleanStart = clean
	return errors.Trace(err)
}
