package flow

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"guavarail/core/model"
	"guavarail/core/shed"
)

// maxReturns is how often a caller of admissionLoad submits a refused job again.
const maxReturns = 4

// admissionLoad is a load on a cell whose callers submit each job to the leader, and again
// when it was refused and they have waited as told.
type admissionLoad struct {
	*rush
	admit bool
	jobs  []*admittedJob
	// burst multiplies the rate of the kind with the index burstKind for a time.
	burst                 float64
	burstKind             int
	burstFrom, burstUntil model.Instant
}

// admittedJob is a job of admissionLoad.
type admittedJob struct {
	spec        JobSpec
	centre      model.CentreID
	class       string
	work        float64
	submittedAt model.Instant
	// acceptedAt is when the job was accepted, 0 before, and refusals counts the refusals
	// before.
	acceptedAt model.Instant
	refusals   int
	objective  time.Duration
}

// admissionKind is a kind of jobs: their queue.
type admissionKind struct {
	queue         string
	priority      int
	factor        float64
	base          time.Duration
	rate          float64
	tasks         float64
	milliCPU      float64
	duration      time.Duration
	steps         int
	filler        bool
	spread, limit float64
}

// admissionKinds are the kinds on 120 workers of which long-running tasks hold 70%: they
// need about 85% of the rest.
var admissionKinds = []admissionKind{
	{queue: "urgent", priority: 0, factor: 1.5, base: 1200 * time.Millisecond, rate: 4, tasks: 10, milliCPU: 6000, duration: time.Second, steps: 2, spread: 0.8, limit: 80},
	{queue: "batch", priority: 1, factor: 2, base: 2 * time.Second, rate: 3, tasks: 16, milliCPU: 5000, duration: 1800 * time.Millisecond, steps: 2, spread: 0.8, limit: 100},
	{queue: "fill", priority: 2, factor: 3, base: 4 * time.Second, rate: 1, tasks: 30, milliCPU: 3500, duration: 2500 * time.Millisecond, steps: 1, filler: true, spread: 0.5, limit: 120},
}

// newAdmissionLoad returns a load on a cell of which long-running tasks hold a share.
func newAdmissionLoad(t *testing.T, seed uint64, share float64, admit bool) *admissionLoad {
	ld := &admissionLoad{rush: newRush(t, seed, 120, share), admit: admit, burst: 1}
	ld.sim.leader.pl.config.Admission = admit
	return ld
}

// plan draws the jobs of a time, which are the same with and without admission.
func (ld *admissionLoad) plan(from, until model.Instant) {
	for num := range admissionKinds {
		for at := from; at < until; {
			rate := admissionKinds[num].rate
			if num == ld.burstKind && at >= ld.burstFrom && at < ld.burstUntil {
				rate *= ld.burst
			}
			at = at.Add(time.Duration(ld.sim.rng.ExpFloat64() / rate * float64(time.Second)))
			ld.planJob(&admissionKinds[num], at)
		}
	}
}

// planJob draws a job of a kind, which is submitted at a time.
func (ld *admissionLoad) planJob(kind *admissionKind, at model.Instant) {
	ld.submitted++
	dur := ld.spread(kind.duration, 0.5)
	jb := &admittedJob{centre: model.CentreID(fmt.Sprint("c", ld.sim.rng.IntN(3))), submittedAt: at}
	steps := make([]StepSpec, 1+ld.sim.rng.IntN(kind.steps))
	for i := range steps {
		steps[i] = StepSpec{
			Tasks: 1 + int(ld.vary(kind.tasks, kind.spread, kind.limit)), Size: model.NewResources(int64(ld.vary(kind.milliCPU, 0.4, 3*kind.milliCPU)), int64(ld.vary(2*kind.milliCPU, 0.3, 24_000)), 0),
			Estimate: time.Duration(float64(dur) * (0.5 + ld.sim.rng.Float64())), Filler: kind.filler, Checkpoints: kind.filler, Image: kind.queue,
		}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
		jb.work += float64(steps[i].Tasks) * float64(steps[i].Size.MilliCPU()) / 1000 * steps[i].Estimate.Seconds()
	}
	jb.spec = JobSpec{
		ID: model.JobID(fmt.Sprint(kind.queue, ld.submitted)), Queue: kind.queue, Service: "svc", Steps: steps, Priority: kind.priority, MaxFailures: 50,
		ObjectiveFactor: kind.factor, ObjectiveBase: kind.base,
	}
	ld.durations[jb.spec.ID] = dur
	ld.sim.specs[jb.spec.ID] = steps
	ld.jobs = append(ld.jobs, jb)
	ld.sim.at(at, func() { ld.offer(jb) })
}

// offer submits a job to the leader, and again later if it is refused.
func (ld *admissionLoad) offer(jb *admittedJob) {
	sim := ld.sim
	if sim.leader == nil {
		sim.at(sim.after(400), func() { ld.offer(jb) })
		return
	}
	jb.spec.AcceptedMs = sim.wall()
	jo, err := NewJob(jb.spec)
	if err != nil {
		sim.t.Fatal(err)
	}
	jb.objective = jo.Objective()
	if ld.admit {
		de := sim.leader.pl.Admit(sim.now, jo, jb.centre)
		if !de.Accepted() {
			jb.refusals++
			if jb.refusals <= maxReturns {
				sim.at(sim.now.Add(de.RetryAfter()), func() { ld.offer(jb) })
			}
			return
		}
	}
	jb.acceptedAt = sim.now
	sim.at(sim.now.Add(sim.between(sim.minCommit, sim.maxCommit)), func() { sim.commit([]Op{Submit(jo)}) })
}

// classify sets the class of size of each job: the largest tenth of its kind by work, the
// fifth below, and the others.
func (ld *admissionLoad) classify() {
	byKind := map[string][]*admittedJob{}
	for _, jb := range ld.jobs {
		byKind[jb.spec.Queue] = append(byKind[jb.spec.Queue], jb)
	}
	for _, jobs := range byKind {
		slices.SortFunc(jobs, func(a, b *admittedJob) int { return cmp.Compare(a.work, b.work) })
		for i, jb := range jobs {
			switch part := float64(i) / float64(len(jobs)); {
			case part >= 0.9:
				jb.class = "largest"
			case part >= 0.7:
				jb.class = "large"
			default:
				jb.class = "usual"
			}
		}
	}
}

// admissionCount counts what became of jobs.
type admissionCount struct {
	// offers counts the submissions and refusals those refused. accepted, onTime and late
	// count accepted jobs, and lost those that were never accepted.
	jobs, offers, refusals, accepted, onTime, late, lost int
}

// count adds what became of the jobs to counts, by a group.
func (ld *admissionLoad) count(counts map[string]*admissionCount, group func(jb *admittedJob) string) map[string]*admissionCount {
	for _, jb := range ld.jobs {
		key := group(jb)
		if counts[key] == nil {
			counts[key] = &admissionCount{}
		}
		ac := counts[key]
		ac.jobs++
		ac.offers += jb.refusals
		ac.refusals += jb.refusals
		if jb.acceptedAt == 0 {
			ac.lost++
			continue
		}
		ac.offers++
		ac.accepted++
		if at, ok := ld.endedAt(jb); ok && at.Sub(jb.acceptedAt) <= jb.objective {
			ac.onTime++
		} else {
			ac.late++
		}
	}
	return counts
}

// endedAt returns when the leader found that a job had completed.
func (ld *admissionLoad) endedAt(jb *admittedJob) (model.Instant, bool) {
	own, ok := ld.sim.leader.st.jobs[jb.spec.ID]
	if !ok || own.status != Completed {
		return 0, false
	}
	return own.endSeenAt, true
}

// table formats counts.
func table(title string, counts map[string]*admissionCount) string {
	var out strings.Builder
	fmt.Fprintf(&out, "%-28s %6s %7s %8s %8s %7s %6s %6s\n", title, "jobs", "offers", "refused", "accepted", "onTime", "late", "lost")
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		ac := counts[key]
		fmt.Fprintf(&out, "%-28s %6d %7d %8d %8d %7d %6d %6d\n", key, ac.jobs, ac.offers, ac.refusals, ac.accepted, ac.onTime, ac.late, ac.lost)
	}
	return out.String()
}

// report returns the tables of a load.
func (ld *admissionLoad) report(name string) string {
	ld.classify()
	out := ""
	for _, group := range []func(jb *admittedJob) string{
		func(jb *admittedJob) string { return fmt.Sprint("priority ", jb.spec.Priority) },
		func(jb *admittedJob) string { return jb.spec.Queue + " " + jb.class },
		func(jb *admittedJob) string { return string(jb.centre) },
	} {
		out += "\n" + table(fmt.Sprintf("%s admission=%v", name, ld.admit), ld.count(map[string]*admissionCount{}, group))
	}
	return out
}

// playBurst plays a burst of the kind of priority 1, on a cell of which long-running tasks
// hold 70%.
func playBurst(t *testing.T, seed uint64, admit bool) *admissionLoad {
	ld := newAdmissionLoad(t, seed, 0.7, admit)
	ld.burst, ld.burstKind, ld.burstFrom, ld.burstUntil = 2.5, 1, model.Instant(10*time.Second), model.Instant(25*time.Second)
	ld.plan(model.Instant(5*time.Second), model.Instant(35*time.Second))
	ld.sim.run(model.Instant(90 * time.Second))
	return ld
}

// playLoss plays the loss of every third worker, on a cell of which long-running tasks hold
// 45% before and 68% afterwards.
func playLoss(t *testing.T, seed uint64, admit bool) *admissionLoad {
	ld := newAdmissionLoad(t, seed, 0.45, admit)
	ld.sim.at(model.Instant(12*time.Second), func() {
		for i := 0; i < len(ld.sim.workers); i += 3 {
			ld.sim.exit(ld.sim.workers[i])
		}
	})
	ld.plan(model.Instant(5*time.Second), model.Instant(45*time.Second))
	ld.sim.run(model.Instant(100 * time.Second))
	return ld
}

// Guards against accepted jobs that end late because of others that should have been
// refused: in a burst of one kind on a full cell, and after the loss of workers.
func TestAdmissionKeepsAcceptedJobsOnTime(t *testing.T) {
	for _, sc := range []struct {
		name string
		play func(t *testing.T, seed uint64, admit bool) *admissionLoad
		// maxLate is how many jobs may be late with admission, as a part of those without.
		maxLate float64
	}{{"burst", playBurst, 0.75}, {"loss", playLoss, 0.75}} {
		t.Run(sc.name, func(t *testing.T) {
			sums := map[string]*admissionCount{}
			for seed := range uint64(3) {
				for _, admit := range []bool{false, true} {
					ld := sc.play(t, seed, admit)
					t.Log(ld.report(fmt.Sprint(sc.name, " ", seed)))
					ld.count(sums, func(*admittedJob) string { return fmt.Sprint(admit) })
				}
			}
			with, without := sums["true"], sums["false"]
			if float64(with.late) > sc.maxLate*float64(without.late) || with.onTime < without.onTime {
				t.Errorf("with admission %d on time and %d late, without %d and %d", with.onTime, with.late, without.onTime, without.late)
			}
			if with.lost > with.jobs/20 {
				t.Errorf("%d of %d jobs never accepted", with.lost, with.jobs)
			}
		})
	}
}

// Guards against a size of jobs, or a data centre, that bears the refusals: over the time
// of a burst each is refused about as often as all.
func TestRefusalsAreTakenInTurns(t *testing.T) {
	const (
		minOffers = 80
		// tolerance is how much more often or less often than all a group may be refused.
		tolerance = 0.12
	)
	groups := []func(jb *admittedJob) string{
		func(*admittedJob) string { return "" },
		func(jb *admittedJob) string { return "size " + jb.class },
		func(jb *admittedJob) string { return "centre " + string(jb.centre) },
	}
	sums := map[string]*admissionCount{}
	for seed := range uint64(4) {
		ld := playBurst(t, seed, true)
		ld.jobs = slices.DeleteFunc(ld.jobs, func(jb *admittedJob) bool {
			return jb.spec.Priority != 1 || jb.submittedAt < ld.burstFrom || jb.submittedAt > ld.burstUntil
		})
		ld.classify()
		for _, group := range groups {
			ld.count(sums, group)
		}
	}
	t.Log("\n" + table("in the burst", sums))
	all := float64(sums[""].refusals) / float64(sums[""].offers)
	for key, sum := range sums {
		rate := float64(sum.refusals) / float64(sum.offers)
		if sum.offers >= minOffers && (rate > all+tolerance || rate < all-tolerance) {
			t.Errorf("%s: %.2f refused, of all %.2f", key, rate, all)
		}
	}
}

// Guards against a caller who missed the answer to a submission and is told that the job
// was not accepted, and against a leader that refuses jobs before it knows the cell.
func TestAdmissionAcceptsWhatItMustNotRefuse(t *testing.T) {
	ld := newAdmissionLoad(t, 1, 0.7, true)
	ld.burst, ld.burstKind, ld.burstFrom, ld.burstUntil = 6, 1, model.Instant(6*time.Second), model.Instant(30*time.Second)
	ld.plan(model.Instant(5*time.Second), model.Instant(30*time.Second))
	ld.sim.run(model.Instant(20 * time.Second))
	pl := ld.sim.leader.pl
	refused, known := 0, 0
	for _, jb := range ld.jobs {
		if jb.submittedAt > ld.sim.now {
			continue
		}
		jo, err := NewJob(jb.spec)
		if err != nil {
			t.Fatal(err)
		}
		de := pl.Admit(ld.sim.now, jo, jb.centre)
		if _, ok := ld.sim.leader.st.jobs[jo.ID()]; ok {
			known++
			if de.Reason() != shed.Known {
				t.Errorf("job %s of the state: %v", jo.ID(), de.Reason())
			}
		} else if !de.Accepted() {
			refused++
		}
	}
	if known == 0 || refused == 0 {
		t.Fatalf("%d jobs known, %d others refused; want some of each", known, refused)
	}
	ld.sim.failOver(time.Second)
	ld.sim.run(ld.sim.now.Add(time.Second + admissionDelay/2))
	for _, jb := range ld.jobs {
		jo, err := NewJob(jb.spec)
		if err != nil {
			t.Fatal(err)
		}
		if de := ld.sim.leader.pl.Admit(ld.sim.now, jo, jb.centre); !de.Accepted() {
			t.Fatalf("new leader refuses %s: %v", jo.ID(), de.Reason())
		}
	}
}

// Guards against callers who return as told and are still refused, when the burst is over
// and the jobs accepted in it have ended.
func TestCallersWhoReturnAreServed(t *testing.T) {
	ld := playBurst(t, 2, true)
	returned := 0
	for _, jb := range ld.jobs {
		if jb.refusals == 0 {
			continue
		}
		returned++
		if last := jb.acceptedAt; last == 0 && jb.submittedAt > ld.burstUntil.Add(-5*time.Second) {
			t.Errorf("%s, submitted at %v when the burst was about over, was refused %d times", jb.spec.ID, time.Duration(jb.submittedAt), jb.refusals)
		}
	}
	if returned == 0 {
		t.Error("no job was refused in the burst")
	}
}

// Guards against a cell that counts as full because tasks wait that no worker, or few, may run.
func TestOddTasksDoNotFillTheCell(t *testing.T) {
	ld := newAdmissionLoad(t, 1, 0.3, true)
	size := model.NewResources(4000, 4000, 0)
	ld.sim.submit("label", StepSpec{Tasks: 2000, Size: size, Estimate: time.Second, RequiredLabel: "none"})
	ld.sim.submit("huge", StepSpec{Tasks: 2000, Size: size.Scale(50), Estimate: time.Second})
	ld.sim.submit("gang", StepSpec{Tasks: 2000, Size: size, Estimate: time.Second, Gang: true})
	ld.sim.run(model.Instant(6 * time.Second))
	if vi := ld.sim.leader.pl.buildView(ld.sim.now); len(vi.Full) > 0 || len(vi.Jobs) != 3 {
		t.Errorf("%d jobs wait, full: %+v", len(vi.Jobs), vi.Full)
	}
}
