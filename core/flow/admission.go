package flow

import (
	"time"

	"guavarail/core/model"
	"guavarail/core/shed"
)

// admissionDelay is how long a new leader accepts all jobs. By then the workers have sent
// heartbeats and the runs have shown progress.
const admissionDelay = 3 * time.Second

// maxUnknownDivisor is the share of the workers that may not have reported when the leader
// begins to refuse jobs.
const maxUnknownDivisor = 10

// maxViewRuns is the number of runs from which a view samples the workers. It bounds the time
// that a forecast takes, during which no heartbeat is handled.
const maxViewRuns = 8192

// admission decides which jobs the leader accepts. The zero value accepts all.
type admission struct {
	control shed.Controller
	// since is when this leader's term began.
	since model.Instant
	// known is set once most workers have reported to this leader.
	known bool
	// runTimes are the measured run times.
	runTimes map[runTimeKey]*runTime
	// view is the view of the last forecast, whose memory the next one uses.
	view shed.View
	// steps holds the steps of the jobs of view.
	steps []shed.Step
	// used is what the workspaces with a quota hold.
	used map[model.WorkspaceID]model.Resources
	// views counts the views that were built.
	views int
}

// Admit decides whether to accept a job that a caller in a data centre submits. A job that
// is accepted must be proposed, and one that is refused must not. Config.Admission must be
// set.
func (pl *Planner) Admit(now model.Instant, jo Job, centre model.CentreID) shed.Decision {
	if _, ok := pl.st.jobs[jo.ID()]; ok {
		return shed.Accept(shed.Known)
	}
	if !pl.hasLeaderLease(now) || !pl.knowsCell(now) || pl.rooms == nil || jo.longRunning() || jo.spec.Repetitions > 0 {
		return shed.Accept(shed.Unjudged)
	}
	sub := pl.shedJob(&jo, nil, 0, make([]shed.Step, 0, len(jo.spec.Steps)))
	sub.Centre = centre
	return pl.admission.control.Decide(now, func() *shed.View { return pl.buildView(now) }, sub)
}

// knowsCell reports whether enough of the workers have reported to this leader for it to
// refuse jobs.
func (pl *Planner) knowsCell(now model.Instant) bool {
	ad := &pl.admission
	if ad.known || now.Sub(ad.since) < admissionDelay {
		return ad.known
	}
	unknown := 0
	for _, wk := range pl.workers.sorted {
		if !wk.reported {
			unknown++
		}
	}
	ad.known = len(pl.workers.sorted) > 0 && unknown <= len(pl.workers.sorted)/maxUnknownDivisor
	return ad.known
}
