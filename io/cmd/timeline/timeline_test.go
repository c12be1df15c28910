package timeline

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// fakeVM serves the events of one VM and the list of all VMs.
type fakeVM struct {
	events []rest.Event
	vms    []rest.VM
	epoch  string
}

func (vm *fakeVM) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.URL.Path == rest.PathVMs {
		_ = json.NewEncoder(wri).Encode(rest.VMList{VMs: vm.vms})
		return
	}
	que, err := rest.ParseEventQuery(req.URL.Query())
	if err != nil {
		wri.WriteHeader(http.StatusBadRequest)
		return
	}
	if que.Epoch != vm.epoch {
		que.After = 0
	}
	// With one event a page, the test covers reads of several pages.
	list := rest.EventList{Epoch: vm.epoch, Next: que.After}
	for _, ev := range vm.events {
		if ev.Sequence > que.After {
			list.Next = ev.Sequence
			if que.Job == "" || que.Job == ev.Job {
				list.Events = append(list.Events, ev)
			}
			break
		}
	}
	_ = json.NewEncoder(wri).Encode(list)
}

func event(vm string, seq uint64, ms int64, kind, job string) rest.Event {
	return rest.Event{VM: vm, Sequence: seq, TimeMs: ms, Kind: kind, Job: job, Fields: map[string]string{"b": "2", "a": "1"}}
}

// startVMs starts servers for both VMs and returns the address of the first one. Its
// list of VMs has both, and a third VM that cannot be reached.
func startVMs(t *testing.T, one, two *fakeVM) string {
	t.Helper()
	var addresses []string
	for _, vm := range []*fakeVM{one, two} {
		srv := httptest.NewServer(vm)
		t.Cleanup(srv.Close)
		addresses = append(addresses, strings.TrimPrefix(srv.URL, "http://"))
	}
	one.vms = []rest.VM{{Name: "a-1", APIAddress: addresses[0]}, {Name: "a-2", APIAddress: addresses[1]}, {Name: "a-3", APIAddress: "127.0.0.1:1"}}
	return addresses[0]
}

// runTimeline runs the command and returns its standard output and its standard
// error.
func runTimeline(t *testing.T, opt Options, wait client.Wait) (string, string) {
	t.Helper()
	var out, err bytes.Buffer
	env := shell.Env{
		Streams: term.New(nil, &out, &err, false),
		Getenv:  func(string) string { return "" },
		Connect: func(cfg client.Config) (*client.Client, func(), error) {
			cfg.Rounds, cfg.Wait = 1, wait
			return client.New(cfg)
		},
	}
	opt.Limit = 100
	if er := Run(context.Background(), env, opt); er != nil {
		t.Fatal(er)
	}
	return out.String(), err.String()
}

// kinds returns the event kinds of the printed rows.
func kinds(out string) string {
	var names []string
	for _, line := range strings.Split(strings.TrimSpace(out), "\n") {
		if cells := strings.Split(line, "\t"); len(cells) > 2 {
			names = append(names, cells[2])
		}
	}
	return strings.Join(names, " ")
}

// Guards against a timeline that shows effects before causes, ignores a filter, or
// does not report that a VM's events are missing.
func TestMergedInCausalOrder(t *testing.T) {
	one := &fakeVM{events: []rest.Event{event("a-1", 1, 10, "first", "j"), event("a-1", 2, 30, "third", "j")}}
	two := &fakeVM{events: []rest.Event{event("a-2", 1, 20, "second", "j"), event("a-2", 2, 40, "fourth", "k")}}
	address := startVMs(t, one, two)
	opt := Options{Target: shell.Target{API: address}}
	out, stderr := runTimeline(t, opt, nil)
	if kinds(out) != "first second third fourth" || !strings.Contains(out, "\ta=1 b=2\n") {
		t.Errorf("printed\n%s", out)
	}
	if !strings.Contains(stderr, "VM a-3 cannot be read") {
		t.Errorf("notes %q do not name the VM that is missing", stderr)
	}
	opt.Job = "k"
	if out, _ = runTimeline(t, opt, nil); kinds(out) != "fourth" {
		t.Errorf("filtered by job k:\n%s", out)
	}
}

// Guards against events that --follow repeats or loses, in particular when a VM
// restarts and numbers its events from 1 again, up to more than the last number
// that was read.
func TestFollowShowsEachEventOnce(t *testing.T) {
	one := &fakeVM{events: []rest.Event{event("a-1", 5, 10, "old", "")}}
	two := &fakeVM{}
	address := startVMs(t, one, two)
	round := 0
	wait := func(context.Context, time.Duration) error {
		round++
		switch round {
		case 1:
			two.events = append(two.events, event("a-2", 1, 20, "new", ""))
		case 2:
			one.epoch = "second"
			one.events = nil
			for seq := uint64(1); seq <= 7; seq++ {
				one.events = append(one.events, event("a-1", seq, int64(30+seq), "r", ""))
			}
		case 5:
			return context.Canceled
		}
		return nil
	}
	out, stderr := runTimeline(t, Options{Follow: true, Target: shell.Target{API: address}}, wait)
	if kinds(out) != "old new r r r r r r r" {
		t.Errorf("printed\n%s", out)
	}
	if strings.Count(stderr, "a-3") != 1 {
		t.Errorf("notes\n%s\nwant the missing VM named once", stderr)
	}
}
