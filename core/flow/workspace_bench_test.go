package flow

import (
	"fmt"
	"testing"

	"guavarail/core/model"
	"guavarail/core/share"
)

// BenchmarkWorkspaces measures one plan, and the steps of the planner for each heartbeat, in a
// full cell whose jobs belong to workspaces, without terms and with a weight for each and a
// quota for each second one.
func BenchmarkWorkspaces(b *testing.B) {
	for _, size := range []struct{ workers, workspaces int }{{1100, 20}, {17_000, 450}} {
		for _, terms := range []bool{false, true} {
			name := fmt.Sprintf("workers=%d/workspaces=%d/terms=%v", size.workers, size.workspaces, terms)
			b.Run("plan/"+name, func(b *testing.B) {
				bc := newTermsBenchCell(b, size.workers, size.workspaces, terms)
				b.ReportAllocs()
				for b.Loop() {
					bc.pl.plan(bc.now)
					bc.pl.effects = nil
				}
			})
			b.Run("heartbeat/"+name, func(b *testing.B) {
				bc := newTermsBenchCell(b, size.workers, size.workspaces, terms)
				b.ReportAllocs()
				for b.Loop() {
					bc.advance()
				}
			})
		}
	}
}

func newTermsBenchCell(tb testing.TB, workers, workspaces int, with bool) *benchCell {
	bc := newSharedBenchCell(tb, 1, workers, workspaces)
	if with {
		terms := map[model.WorkspaceID]share.Terms{}
		for i := range workspaces {
			name := model.WorkspaceID(fmt.Sprint("workspace", i))
			limit := model.Resources{}
			if i%2 == 0 {
				limit = bc.st.used.Use(name).Owned().Scale(1.02).Max(model.NewResources(40_000, 40_000, 0))
			}
			terms[name] = share.NewTerms(float64(1+i%16), limit)
		}
		bc.st.SetTerms(terms)
	}
	for range 700 {
		bc.advance()
	}
	bc.pl.plan(bc.now)
	return bc
}
