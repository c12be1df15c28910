package flow

import "testing"

// TestFindRunIsTheSearch guards against records of runs that a task keeps or
// lacks: findRun must return what a look at every worker finds, also when two
// incarnations have a record of the same attempt, and after runs are gone.
func TestFindRunIsTheSearch(t *testing.T) {
	single, several, none := 0, 0, 0
	for seed := range uint64(100) {
		rc := newRandomCell(t, seed)
		pl := rc.pl
		if len(pl.workers.sorted) > 2 {
			former := pl.workers.sorted[1]
			pl.workers.remove(former)
			pl.formerWorkers = append(pl.formerWorkers, former)
		}
		for range 3 {
			for _, rs := range rc.steps {
				for i := range rs.spec.Tasks {
					for attempt := 1; attempt <= 2; attempt++ {
						id := NewTaskID(rs.job.ID(), 0, 0, i)
						wantWorker, want := pl.searchRun(id, attempt)
						gotWorker, got := pl.findRun(id, attempt)
						if got != want || gotWorker != wantWorker {
							t.Fatalf("seed %d: attempt %d of %s: got %+v, want %+v", seed, attempt, id, got, want)
						}
						switch {
						case want == nil:
							none++
						case len(want.state.placed) > 1:
							several++
						default:
							single++
						}
					}
				}
			}
			rc.changeRuns()
		}
	}
	if single < 1000 || several < 1000 || none < 1000 {
		t.Errorf("got %d runs with one record, %d with several and %d without, want 1000 of each", single, several, none)
	}
}
