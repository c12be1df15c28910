package node

import (
	"context"
	"time"

	"guavarail/core/event"
)

// handOverTime bounds the transfer of leadership at a planned shutdown.
const handOverTime = 3 * time.Second

// Drain prepares a planned shutdown: the VM reports not ready, hands leadership
// to other VMs and completes the requests in flight within the bound of the
// settings. An error says that requests had to be aborted.
func (nod *Node) Drain(ctx context.Context) error {
	nod.rec.Note(event.New("vmDraining", event.Subject{VM: nod.self, Centre: nod.centre}))
	ctx, cancel := context.WithTimeout(ctx, nod.set.Limits().Drain())
	defer cancel()
	handed := make(chan struct{})
	go func() {
		defer close(handed)
		nod.handOver(ctx)
	}()
	err := nod.entry.Drain(ctx)
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
