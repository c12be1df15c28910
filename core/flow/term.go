package flow

import (
	"maps"
	"slices"
	"strconv"

	"guavarail/core/blame"
	"guavarail/core/model"
)

// becomeLeader rebuilds the leader's records from the replicated state. The
// lease of every worker that is not marked as silent counts as renewed when the lease
// of the previous leader ended, because that may have renewed it until then.
func (pl *Planner) becomeLeader(now model.Instant, msg BecameLeader) {
	pl.stepDown()
	pl.wallMs, pl.wallReadAt = msg.Wall, now
	pl.leading, pl.term, pl.previousTerm, pl.dirty = true, msg.Term, msg.PreviousTerm, true
	pl.st.dateMarks(now)
	pl.delays.recordedAt, pl.admission.since = now, now
	for _, jb := range pl.st.bySubmission() {
		jb.endSeenAt = now
		if jb.status.Final() {
			pl.endedJobs = append(pl.endedJobs, jb)
		} else {
			pl.openJobs = append(pl.openJobs, jb)
		}
		pl.restoreRuns(now, jb)
	}
	silent := pl.inheritLeases(now, min(now, timeOr(msg.FormerLeaseEnd, now)))
	pl.recordEvent("leadershipTaken", "", "", "", "term", strconv.FormatUint(msg.Term, 10), "jobs", strconv.Itoa(len(pl.openJobs)),
		"silentWorkers", strconv.Itoa(silent))
}

// restoreRuns adds the runs of a job to the records of their workers and resets
// its planned starts. A task of which this VM has not seen an end counts as
// waiting from now, and as having run if a run was started that has ended.
func (pl *Planner) restoreRuns(now model.Instant, jb *job) {
	for _, k := range slices.Sorted(maps.Keys(jb.occurrences)) {
		occ := jb.occurrences[k]
		for s := range occ.steps {
			occ.steps[s].turn, occ.steps[s].nextTurn = nil, 0
			occ.steps[s].work = blame.Work{}
			for i := range occ.steps[s].tasks {
				tk := &occ.steps[s].tasks[i]
				tk.plannedStarts = 0
				if tk.idleSince == 0 {
					tk.idleSince = now
				}
				tk.ran = tk.ran || tk.attempt > 1 || tk.attempt > 0 && len(tk.runs) == 0
				for _, ru := range tk.runs {
					pl.inheritRun(now, pl.ensureWorker(now, ru.incarnation), NewTaskID(jb.ID(), k, s, i), ru.attempt)
				}
			}
		}
	}
}

// stepDown drops all records that only a leader has and answers the open
// heartbeats with Refused.
func (pl *Planner) stepDown() {
	for _, wk := range pl.workers.sorted {
		if wk.answerPending {
			pl.effects = append(pl.effects, Answer{HeartbeatID: wk.heartbeatID, Refused: true})
		}
	}
	pl.refuseLeaves()
	for _, jb := range pl.openJobs {
		jb.clearPlanned()
	}
	*pl = Planner{
		st: pl.st, config: pl.config, effects: pl.effects, outage: pl.outage, services: pl.services, exits: pl.exits,
		leaseUntil: pl.leaseUntil, wallMs: pl.wallMs, wallReadAt: pl.wallReadAt, ordinary: pl.ordinary, demandSeenAt: pl.demandSeenAt,
	}
}
