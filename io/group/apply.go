package group

import (
	"strconv"

	"github.com/juju/errors"

	"guavarail/core/event"
	"guavarail/core/quorum"
	"guavarail/io/wire"
)

// apply applies a committed entry and answers the callers that wait at its index.
func (act *groupActor[M, C, R, S]) apply(ent quorum.Entry) {
	if act.fatalErr != nil {
		return
	}
	var res R
	if ent.Kind() == quorum.EntryCommand {
		cmd, err := act.cfg.Commands.Decode(ent.Data())
		if err != nil {
			act.rejectEntry(ent, err)
			return
		}
		res = act.cfg.Replica.Apply(cmd)
		if act.cfg.OnApply != nil {
			act.cfg.OnApply(ent.Index(), cmd, res)
		}
	}
	act.answerEntry(ent, result[R]{val: res})
}

// rejectEntry handles a committed entry that cannot be decoded. All replicas skip it alike,
// so that it has no effect. Only an operation that this version does not know halts the
// replica, since those of a later version apply it.
func (act *groupActor[M, C, R, S]) rejectEntry(ent quorum.Entry, cause error) {
	err := &CodecError{group: act.cfg.Group, index: ent.Index(), cause: cause}
	var uoe *wire.UnknownOperationError
	if errors.As(cause, &uoe) {
		act.fatalErr = err
		return
	}
	entriesSkipped.Add(act.cfg.Group)
	act.record("entrySkipped", event.NewField("index", strconv.FormatUint(ent.Index(), 10)), event.NewField("reason", cause.Error()))
	act.answerEntry(ent, result[R]{err: err})
}

// record adds an event about the group to the timeline.
func (act *groupActor[M, C, R, S]) record(kind event.Kind, fis ...event.Field) {
	if act.cfg.OnEvent != nil {
		act.cfg.OnEvent(event.New(kind, event.Subject{}, append(fis, event.NewField("group", act.cfg.Group))...))
	}
}

// answerEntry answers the callers that wait at the index of an entry: the one that proposed
// it gets res, any other a NotLeaderError because its entry was replaced.
func (act *groupActor[M, C, R, S]) answerEntry(ent quorum.Entry, res result[R]) {
	for _, wai := range act.waitersByIndex[ent.Index()] {
		if wai.term == ent.Term() {
			act.answer(wai.id, res)
		} else {
			act.answer(wai.id, result[R]{err: quorum.NewNotLeaderError(act.node.Role(act.cfg.Clock()).Leader())})
		}
	}
	delete(act.waitersByIndex, ent.Index())
}

// installSnapshot replaces the state with a received snapshot. The results of the
// commands that the snapshot covers are unknown on this replica.
func (act *groupActor[M, C, R, S]) installSnapshot(snap quorum.Snapshot) {
	val, err := act.cfg.Snapshots.Decode(act.receivedSnapshot)
	if err != nil {
		act.fatalErr = &CodecError{group: act.cfg.Group, index: snap.Index(), cause: err}
		return
	}
	act.cfg.Replica.Restore(val)
	for idx, lst := range act.waitersByIndex {
		if idx > snap.Index() {
			continue
		}
		delete(act.waitersByIndex, idx)
		for _, wai := range lst {
			act.answer(wai.id, result[R]{err: &UnknownError{group: act.cfg.Group, cause: &SkippedError{}}})
		}
	}
}
