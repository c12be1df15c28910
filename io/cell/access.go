package cell

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/group"
)

// Access checks a call on a queue with the configuration in effect, under the leader lease.
// A key that a configuration has revoked is unknown to every call that begins after that
// configuration was acknowledged. If the key is missing or unknown, it counts the call and
// records the event keyRejected, without the key.
func (lea Leader) Access(ctx context.Context, cal Call) (cell.Access, error) {
	mem, err := lea.member()
	if err != nil {
		return cell.Access{}, err
	}
	acc, err := group.ReadInTurn(ctx, mem.ref, func(now model.Instant, rol quorum.Role, sta *cell.State) cell.Access {
		mem.jobMemory.SetState(sta.Jobs().Bytes())
		doc := sta.Document()
		acc := doc.Access(cal.Host, cal.Path, cal.Key)
		if acc.Outcome() == cell.KeyMissing || acc.Outcome() == cell.KeyUnknown {
			mem.recordRejectedKey(now, rol, doc, acc, cal)
		}
		return acc
	})
	return acc, errors.Trace(err)
}

// recordRejectedKey counts and records a call whose key is missing or unknown. It runs on
// the group's actor.
func (mem *member) recordRejectedKey(now model.Instant, rol quorum.Role, doc cell.Document, acc cell.Access, cal Call) {
	rejectedKeys.Add(acc.Outcome().String())
	suppressed, ok := mem.rejectedKeys.Allow(now)
	if !ok {
		return
	}
	mem.vm.RecordEvent(event.New("keyRejected", event.Subject{}, append(readFields(now, rol, suppressed),
		event.NewField("reason", acc.Outcome().String()), event.NewField("queue", acc.Queue().Spec().Name), event.NewField("method", cal.Method),
		event.NewField("centre", string(cal.Centre)), event.NewField("version", strconv.FormatUint(doc.Version(), 10)))...))
}
