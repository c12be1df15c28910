package caller

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"guavarail/core/model"
	"guavarail/io/fake/worker"
	"guavarail/io/host"
)

// Guards against an injected fault of the backend server that the caller's results
// or the server's request statistics don't show: Verify relies on both.
func TestResultsShowWhatHappened(t *testing.T) {
	sys, stopSys := host.NewSystem(hclog.NewNullLogger())
	defer stopSys()
	wor, stop, err := worker.New(worker.Config{
		System: sys, Name: "w", Rack: "r", Size: model.NewResources(4000, 100, 0),
		Service: "orders", Listen: "127.0.0.1:0", Slots: 8,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	total := map[string]int{}
	for _, tc := range []struct {
		name           string
		faults         worker.Faults
		status, runs   int
		intact, failed bool
	}{
		{"fine", 0, 200, 1, true, false},
		{"truncate", worker.TruncateResponses, 200, 1, false, true},
		{"reject", worker.RejectRequests, 503, 0, false, false},
		{"partitioned", worker.Partitioned, 0, 1, false, true},
		{"vm-lost", worker.VMLost, 0, 0, false, true},
	} {
		timeout := time.Minute
		if tc.faults == worker.Partitioned {
			timeout = 2 * time.Second
		}
		wor.SetFaults(tc.faults, true)
		got := Run(context.Background(), Config{
			Name: tc.name, Targets: []string{wor.Address()}, Service: "orders", Count: 5, Rate: 1000, Seed: 1,
			Timeout: timeout,
			Request: func(int) Request { return Request{Size: 1 << 20, NonIdempotent: true} },
		})
		wor.SetFaults(tc.faults, false)
		sta, err := wor.RequestStats()
		if err != nil {
			t.Fatal(err)
		}
		total = sta.Runs()
		if len(got) != 5 {
			t.Fatalf("%s: %d results", tc.name, len(got))
		}
		for _, res := range got {
			if res.Status() != tc.status || res.Intact() != tc.intact || (res.Err() != nil) != tc.failed || total[res.ID()] != tc.runs {
				t.Errorf("%s: %s: status %d, intact %v, error %v, ran %d times", tc.name, res.ID(), res.Status(), res.Intact(), res.Err(), total[res.ID()])
			}
		}
	}
	if total["fine-0"] != 1 {
		t.Errorf("the request statistics lost a request: %v", total)
	}
}

// Guards against a check of Verify that never reports a violation, or reports one
// for a correct result.
func TestVerifyFindsEachViolation(t *testing.T) {
	ok := Result{id: "a", status: 200, outcome: "answered", intact: true}
	for _, tc := range []struct {
		what string
		edit func(res *Result)
		runs int
		want string
	}{
		{"fine", func(*Result) {}, 1, ""},
		{"other body", func(res *Result) { res.intact = false }, 1, "P5"},
		{"never ran", func(*Result) {}, 0, "P5"},
		{"no outcome", func(res *Result) { res.outcome = "" }, 1, "P6"},
		{"ran after all", func(res *Result) { res.status, res.outcome = 503, "notRun" }, 1, "P6"},
		{"not run", func(res *Result) { res.status, res.outcome = 503, "notRun" }, 0, ""},
		{"idempotent twice", func(*Result) {}, 2, ""},
		{"non-idempotent twice", func(res *Result) { res.request.NonIdempotent = true }, 2, "P7"},
		{"key twice", func(res *Result) { res.request.Key = "k" }, 2, "P7"},
	} {
		res := ok
		tc.edit(&res)
		var got string
		if vios := Verify([]Result{res}, map[string]int{"a": tc.runs}); len(vios) > 0 {
			got = vios[0].Invariant()
		}
		if got != tc.want {
			t.Errorf("%s: violation %q, want %q", tc.what, got, tc.want)
		}
	}
	two := Verify([]Result{
		{id: "a", status: 200, outcome: "answered", intact: true, request: Request{Key: "k"}},
		{id: "b", status: 200, outcome: "answered", intact: true, request: Request{Key: "k"}},
	}, map[string]int{"a": 1, "b": 1})
	if len(two) != 1 || two[0].Invariant() != "P7" {
		t.Errorf("two requests with one key: %v", two)
	}
}
