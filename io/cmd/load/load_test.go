package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"guavarail/io/cmd/shell"
	"guavarail/io/term"
)

// Guards against requests that the report omits or counts twice, and against a
// report without the seed.
func TestReportCountsEveryRequest(t *testing.T) {
	seen := make(chan struct{}, 10000)
	bak := httptest.NewServer(http.HandlerFunc(func(wri http.ResponseWriter, _ *http.Request) {
		seen <- struct{}{}
		if len(seen)%2 == 0 {
			wri.Header().Set("Guavarail-Outcome", "notRun")
			wri.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer bak.Close()
	var out bytes.Buffer
	err := Run(context.Background(), shell.Env{Streams: term.New(nil, &out, &out, false)}, Options{
		URL: bak.URL, Rate: 500, Duration: 200 * time.Millisecond, Connections: 4, Deadline: time.Minute,
		Method: "GET", Seed: 7, Output: shell.Output{JSON: true},
	})
	if err != nil {
		t.Fatal(err)
	}
	var rep Report
	if err := json.Unmarshal(out.Bytes(), &rep); err != nil {
		t.Fatal(err)
	}
	if rep.Requests != int64(len(seen)) || rep.Outcomes["answered"]+rep.Outcomes["notRun"] != rep.Requests || rep.Seed != 7 {
		t.Errorf("%d requests seen, report %+v", len(seen), rep)
	}
}

// Guards against latencies that leave out the time that a request waits for a free
// connection: one whose deadline passed in that time has to be counted as unsent.
func TestLatencyCountsFromIntendedTime(t *testing.T) {
	ta := newTally()
	sen := &sender{op: Options{Deadline: time.Second}, tally: ta}
	sen.send(context.Background(), arrival{at: time.Now().Add(-time.Hour)})
	if ta.counts[outcomeUnsent] != 1 {
		t.Errorf("outcomes %v, want one unsent", ta.counts)
	}
}

// Guards against options with which the command runs for ever or sends nothing.
func TestOptionsAreChecked(t *testing.T) {
	good := Options{Rate: 1, Duration: time.Second, Connections: 1, Deadline: time.Second}
	if err := good.check(); err != nil {
		t.Fatal(err)
	}
	for name, change := range map[string]func(op *Options){
		"rate":        func(op *Options) { op.Rate = -1 },
		"duration":    func(op *Options) { op.Duration = 0 },
		"connections": func(op *Options) { op.Connections = 0 },
		"deadline":    func(op *Options) { op.Deadline = 0 },
	} {
		op := good
		change(&op)
		if op.check() == nil {
			t.Errorf("%s accepted", name)
		}
	}
}
