package flow

import (
	"strconv"
	"time"

	"guavarail/core/model"
)

const (
	// minSilence is how long a worker with runs must send no heartbeat, at least,
	// until it is marked as silent. One lost message doesn't suffice.
	minSilence = 2 * time.Second
	// proofDelay bounds the delay from an answer to the next heartbeat of an unproven
	// worker, so that it is sent in time to be a proof.
	proofDelay = 300 * time.Millisecond
	// maxProbes is the number of heartbeats of a silent worker after which the mark is
	// removed though none of them has proved that the worker is alive.
	maxProbes = 3
)

// newWorker returns the record of an incarnation that this leader has no record of.
// Its lease counts as renewed now, because an earlier leader may have renewed it,
// unless the state says when it ends.
func (pl *Planner) newWorker(now model.Instant, inc Incarnation) *worker {
	wk := &worker{incarnation: inc, lastHeartbeat: now, leaseEnd: pl.config.leaseEnd(now), left: pl.exits.has(inc)}
	if ho := pl.st.hosts[inc]; ho != nil && pl.valid(ho) {
		wk.silent, wk.leaseEnd = true, min(wk.leaseEnd, ho.leaseEnd)
	}
	return wk
}

// valid reports whether an incarnation has a mark and has got no lease since that was
// decided: no leader of another term than that of the mark has granted leases between
// it and this leader.
func (pl *Planner) valid(ho *host) bool {
	return ho.silentTerm > 0 && ho.leaseEnd > 0 && (ho.silentTerm == pl.previousTerm || ho.silentTerm == pl.term)
}

// inheritLeases sets the ends of the leases of all workers at the start of a term.
// Earlier leaders may have renewed them until granted, unless the worker is marked as
// silent. The valid marks are proposed again, so that the next leader finds them valid;
// their number is returned.
func (pl *Planner) inheritLeases(now, granted model.Instant) int {
	num := 0
	for _, workers := range [][]*worker{pl.workers.sorted, pl.formerWorkers} {
		for _, wk := range workers {
			if !wk.silent {
				wk.leaseEnd = pl.config.leaseEnd(granted)
				continue
			}
			num++
			pl.proposeSilence(now, wk, "inherited", "true")
		}
	}
	return num
}

// checkSilence marks a worker as silent that has runs and has sent no heartbeat for
// some time.
func (pl *Planner) checkSilence(now model.Instant, wk *worker) {
	limit := max(minSilence, callTimeout+pl.heartbeatDelay()+pickupMargin)
	if wk.silent || pl.silence(wk)-wk.excused <= limit || !now.Before(wk.leaseEnd) || pl.st.hosts[wk.incarnation] == nil {
		return
	}
	wk.silent = true
	pl.proposeSilence(now, wk, "silentMs", strconv.FormatInt(pl.silence(wk).Milliseconds(), 10))
}

// proposeSilence proposes the mark of a silent worker. The worker gets no lease from
// now on, even if the outcome of the proposal is unknown, until hear has proposed the
// removal of the mark and this has been applied.
func (pl *Planner) proposeSilence(now model.Instant, wk *worker, pairs ...string) {
	left := max(0, wk.leaseEnd.Sub(now))
	pl.pendingOps = append(pl.pendingOps, Silence(wk.incarnation, pl.term, left))
	pairs = append(pairs, "leaseLeftMs", strconv.FormatInt(left.Milliseconds(), 10), "runs", strconv.Itoa(len(wk.runs)))
	pl.recordEvent("workerSilent", "", "", wk.incarnation.String(), pairs...)
}

// probe is a heartbeat of a silent worker that was answered at once, without a lease, or of
// an unproven one that was answered without a new lease. The zero value is none.
type probe struct {
	// number counts the heartbeats since the worker was found silent.
	number int
	// clock is the worker's clock when it sent the heartbeat.
	clock time.Duration
}

// hear proposes to remove the mark of a silent worker once a heartbeat proves that
// the worker is alive, and lets an unproven one have whole leases again.
func (pl *Planner) hear(wk *worker, hb *Heartbeat) {
	if !wk.silent && !wk.unproven || wk.heardProposed || !wk.provenBy(hb) {
		return
	}
	if wk.silent {
		wk.heardProposed = true
		pl.pendingOps = append(pl.pendingOps, Heard(wk.incarnation, pl.term))
		return
	}
	wk.unproven, wk.probe = false, probe{}
}

// provenBy reports whether a heartbeat proves that the worker is alive. The first one
// may be late, from a worker that has exited since. If the next one was sent before the
// call of the first one timed out, the worker had got the answer.
func (wk *worker) provenBy(hb *Heartbeat) bool {
	last := wk.probe
	wk.probe = probe{number: last.number + 1, clock: hb.Clock}
	return last.number > 0 && (hb.Clock-last.clock <= maxAnswerAge || wk.probe.number >= maxProbes)
}

// appliedHeard lets a worker get leases again. A removal that an earlier leader
// decided may precede a mark of this one in the log and doesn't count.
func (pl *Planner) appliedHeard(op Op) {
	if op.term != pl.term {
		return
	}
	wk, ok := pl.workers.get(op.incarnation.worker)
	if !ok || wk.incarnation != op.incarnation || !wk.silent {
		return
	}
	wk.silent, wk.unproven, wk.heardProposed, wk.probe = false, false, false, probe{}
	pl.touched, pl.dirty = wk, true
	pl.recordEvent("workerHeard", "", "", wk.incarnation.String(), "runs", strconv.Itoa(len(wk.runs)))
}
