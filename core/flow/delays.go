package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

// delayEventInterval is the minimum time between two events about the delays of
// the leader.
const delayEventInterval = time.Second

// timing is the number, the sum and the maximum of some durations.
type timing struct {
	num      int
	sum, top time.Duration
}

func (ti *timing) add(dur time.Duration) {
	ti.num++
	ti.sum += dur
	ti.top = max(ti.top, dur)
}

// mean returns the mean of the durations in milliseconds, 0 without any.
func (ti *timing) mean() string {
	return strconv.FormatInt((ti.sum / time.Duration(max(1, ti.num))).Milliseconds(), 10)
}

// delays measures for how long the leader delays workers and orders. The zero
// value is ready to use.
type delays struct {
	// recordedAt is when the last event was recorded, or this VM became the leader.
	recordedAt model.Instant
	// queued is the time from the arrival of heartbeats until they are handled.
	queued timing
	// ends is the time from the arrival of heartbeats with ends until their answer,
	// and endsOpen counts the answers without an acknowledgement of all the ends.
	ends     timing
	endsOpen int
	// starts is the time from the decision to start a run until its order is sent.
	starts timing
	// commits is the time from a proposal until it ends, and proposedAt when the last
	// one was made.
	commits    timing
	proposedAt model.Instant
}

// answered measures the answer to the open heartbeat of a worker.
func (del *delays) answered(now model.Instant, wk *worker, acked uint64) {
	num := len(wk.reportedEnds)
	if num == 0 {
		return
	}
	del.ends.add(now.Sub(wk.answerPendingSince))
	if acked < wk.reportedEnds[num-1].Number {
		del.endsOpen++
	}
}

// recordDelays records the delays since the last event about them.
func (pl *Planner) recordDelays(now model.Instant) {
	del := &pl.delays
	if now.Sub(del.recordedAt) < delayEventInterval || del.queued.num == 0 {
		return
	}
	pl.recordEvent("leaderDelays", "", "", "",
		"heartbeats", strconv.Itoa(del.queued.num), "queuedMs", del.queued.mean(), "maxQueuedMs", strconv.FormatInt(del.queued.top.Milliseconds(), 10),
		"proposals", strconv.Itoa(del.commits.num), "commitMs", del.commits.mean(), "maxCommitMs", strconv.FormatInt(del.commits.top.Milliseconds(), 10),
		"endAnswers", strconv.Itoa(del.ends.num), "endAnswerMs", del.ends.mean(), "maxEndAnswerMs", strconv.FormatInt(del.ends.top.Milliseconds(), 10), "endsOpen", strconv.Itoa(del.endsOpen),
		"startOrders", strconv.Itoa(del.starts.num), "startOrderMs", del.starts.mean(), "maxStartOrderMs", strconv.FormatInt(del.starts.top.Milliseconds(), 10))
	*del = delays{recordedAt: now, proposedAt: del.proposedAt}
}
