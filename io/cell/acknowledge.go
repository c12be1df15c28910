package cell

import (
	"context"
	"strconv"
	"time"

	"github.com/juju/errors"

	"guavarail/core/cell"
	"guavarail/core/event"
	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/group"
)

// Reasons of the event jobUnknown.
const (
	// neverAccepted means that the state has no such job and that this VM does not remember
	// that it was dropped.
	neverAccepted = "neverAccepted"
	// dropped means that the job was dropped after its retention.
	dropped = "dropped"
	// otherWorkspace means that the job belongs to another workspace than the caller.
	otherWorkspace = "otherWorkspace"
)

// Configure stores a configuration, waits until it is applied and records the event
// configurationAcknowledged.
func (lea Leader) Configure(ctx context.Context, doc cell.Document) error {
	res, err := lea.Propose(ctx, cell.Configure(doc))
	if err != nil {
		return err
	}
	lea.recordAcknowledged("configurationAcknowledged", event.Subject{},
		event.NewField("version", strconv.FormatUint(doc.Version(), 10)), event.NewField("inEffect", strconv.FormatUint(res.Version(), 10)))
	return nil
}

// SetCentreOut takes a data centre out of service, or back into service if out is false,
// waits until that is applied and records the event centreAcknowledged.
func (lea Leader) SetCentreOut(ctx context.Context, centre model.CentreID, out bool) error {
	if _, err := lea.Propose(ctx, cell.SetCentreOut(centre, out)); err != nil {
		return err
	}
	lea.recordAcknowledged("centreAcknowledged", event.Subject{Centre: centre}, event.NewField("out", strconv.FormatBool(out)))
	return nil
}

// recordAcknowledged records that an operator's change was acknowledged, with the term.
func (lea Leader) recordAcknowledged(kind event.Kind, sub event.Subject, fis ...event.Field) {
	if mem, err := lea.member(); err == nil {
		fis = append(fis, event.NewField("term", strconv.FormatUint(mem.status.Load().term, 10)))
	}
	lea.vm.RecordEvent(event.New(kind, sub, fis...))
}

// Configuration returns the configuration in effect, the zero value if there is none, and
// records the event configurationRead.
func (lea Leader) Configuration(ctx context.Context) (cell.Document, error) {
	mem, err := lea.member()
	if err != nil {
		return cell.Document{}, err
	}
	doc, err := group.ReadInTurn(ctx, mem.ref, func(now model.Instant, rol quorum.Role, sta *cell.State) cell.Document {
		doc := sta.Document()
		if suppressed, ok := mem.configurationReads.Allow(now); ok {
			lea.vm.RecordEvent(event.New("configurationRead", event.Subject{},
				append(readFields(now, rol, suppressed), event.NewField("version", strconv.FormatUint(doc.Version(), 10)))...))
		}
		return doc
	})
	return doc, errors.Trace(err)
}

// JobStatus returns the status of a job that is asked for at a queue, whichever queue
// accepted it, because a configuration may have renamed the queue since. If there is no
// such job, or the caller has no access to it, it returns false and records the event
// jobUnknown with the reason.
func (lea Leader) JobStatus(ctx context.Context, queue string, id model.JobID, caller flow.Caller) (flow.Status, bool, error) {
	type answer struct {
		status flow.Status
		known  bool
	}
	mem, err := lea.member()
	if err != nil {
		var none flow.Status
		return none, false, err
	}
	ans, err := group.ReadInTurn(ctx, mem.ref, func(now model.Instant, rol quorum.Role, sta *cell.State) answer {
		status, _, ok := sta.Jobs().Status(id)
		owner, _ := sta.Jobs().Owner(id)
		if !ok || !caller.MayAccess(owner) {
			mem.recordUnknownJob(now, rol, id, queue)
			return answer{}
		}
		return answer{status: status, known: true}
	})
	return ans.status, ans.known, errors.Trace(err)
}

// Cancel cancels a job at the request of a caller at a queue and waits until that is applied.
// If there is no such job, or the caller has no access to it, it returns false and records
// the event jobUnknown. A submission of an unknown job is not accepted after that.
func (lea Leader) Cancel(ctx context.Context, queue string, id model.JobID, caller flow.Caller) (bool, error) {
	mem, err := lea.member()
	if err != nil {
		return false, err
	}
	res, err := lea.Propose(ctx, cell.Jobs(flow.CancelAs(id, caller).At(time.Now().UnixMilli())))
	if err != nil {
		return false, err
	}
	if verdict := res.Verdicts()[0]; verdict != flow.UnknownJob && verdict != flow.Foreign {
		return true, nil
	}
	mem.ref.Do(func(now model.Instant, rol quorum.Role, _ *cell.State) { mem.recordUnknownJob(now, rol, id, queue) })
	return false, nil
}

// recordUnknownJob records that the state has no such job as is asked for at a queue, or one
// of another workspace. It runs on the group's actor.
func (mem *member) recordUnknownJob(now model.Instant, rol quorum.Role, id model.JobID, queue string) {
	suppressed, ok := mem.unknownJobs.Allow(now)
	if !ok {
		return
	}
	fis := append(readFields(now, rol, suppressed), event.NewField("queue", queue), event.NewField("jobsKnown", strconv.Itoa(mem.state.Jobs().Len())))
	if _, ok := mem.state.Jobs().Owner(id); ok {
		fis = append(fis, event.NewField("reason", otherWorkspace))
	} else if age, ok := mem.dropped.age(now, id); ok {
		fis = append(fis, event.NewField("reason", dropped), event.NewField("droppedMs", milliseconds(age)))
	} else {
		// Jobs dropped before this VM started are not remembered.
		fis = append(fis, event.NewField("reason", neverAccepted), event.NewField("runningMs", milliseconds(time.Duration(now))))
	}
	mem.vm.RecordEvent(event.New("jobUnknown", event.Subject{Job: id}, fis...))
}

// readFields returns the fields that say on which state a read was served: the term, the
// last applied entry and the rest of the leader lease. suppressed is the number of events
// of the same kind that were not recorded since the last one.
func readFields(now model.Instant, rol quorum.Role, suppressed int) []event.Field {
	fis := []event.Field{
		event.NewField("term", strconv.FormatUint(rol.Term(), 10)), event.NewField("applied", strconv.FormatUint(rol.Applied(), 10)),
		event.NewField("leaseLeftMs", milliseconds(rol.LeasedUntil().Sub(now))),
	}
	if suppressed > 0 {
		fis = append(fis, event.NewField("suppressed", strconv.Itoa(suppressed)))
	}
	return fis
}

// milliseconds formats a duration in whole milliseconds.
func milliseconds(dur time.Duration) string { return strconv.FormatInt(dur.Milliseconds(), 10) }
