package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"guavarail/core/event"
	"guavarail/core/fleet"
	"guavarail/core/model"
	"guavarail/core/quorum"
	"guavarail/io/peer"
	"guavarail/io/rest"
)

// fakeFleet is a fleet group that is led by another VM, or by none if leader is
// empty.
type fakeFleet struct {
	leader model.VMID
	state  fleet.State
}

func (ff *fakeFleet) Propose(context.Context, fleet.Command) (fleet.Result, error) {
	return fleet.Result{}, quorum.NewNotLeaderError(ff.leader)
}

func (ff *fakeFleet) Read(context.Context, func(sta *fleet.State) any) (any, error) {
	return nil, quorum.NewNotLeaderError(ff.leader)
}

func (ff *fakeFleet) Do(fn func(sta *fleet.State)) { fn(&ff.state) }

// fakeForwarder records the forwarded calls. It returns an empty reply and err for
// each.
type fakeForwarder struct {
	calls []Call
	err   error
}

func (ff *fakeForwarder) Forward(_ context.Context, _ model.VMID, cal Call) (Reply, error) {
	ff.calls = append(ff.calls, cal)
	return Reply{Status: http.StatusOK, Body: []byte(`{}`)}, ff.err
}

// fakeLocal is a VM that is starting: it is not ready and has no other VMs, no
// data centres and no events.
type fakeLocal struct{}

func (fakeLocal) Status(context.Context) (rest.Status, error) { return rest.Status{}, nil }
func (fakeLocal) NotReadyReason() string                      { return "starting" }
func (fakeLocal) Centres() []model.CentreID                   { return nil }

func (fakeLocal) ReachableVM(model.CentreID) (model.VMID, bool) { return "", false }

func (fakeLocal) Events(uint64, event.Filter, int) (event.Page, error) { return event.Page{}, nil }

// serve sends one request to the API of a VM that does not lead the fleet group;
// leader does, or no VM if it is empty. It returns the status code and the type of
// the failure, which is empty if there is none.
func serve(leader model.VMID, fwd *fakeForwarder, method, path, body string) (int, string) {
	por := Ports{Fleet: &fakeFleet{leader: leader}, Local: fakeLocal{}, Forward: fwd}
	rec := httptest.NewRecorder()
	Handler(por, NewMux(por)).ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)))
	var fai rest.Failure
	_ = json.Unmarshal(rec.Body.Bytes(), &fai)
	return rec.Code, fai.Error.Type
}

const switchBody = `{"command":"c-1","number":2,"operator":"ann"}`

// Guards against calls that are lost, answered by the wrong VM, or answered with
// a status or a failure type that does not match their outcome.
func TestCallsOnVMThatDoesNotLead(t *testing.T) {
	unreachable := &peer.UnreachableError{}
	for name, tc := range map[string]struct {
		leader       model.VMID
		err          error
		method, path string
		body         string
		status       int
		kind         string
		forwarded    int
	}{
		"command goes to the leader":     {leader: "b-1", method: "POST", path: "/v1/presets/peak/switch", body: switchBody, status: 200, forwarded: 1},
		"command without a leader":       {method: "POST", path: "/v1/presets/peak/switch", body: switchBody, status: 503, kind: rest.TypeNoMajority},
		"command, leader is unreachable": {leader: "b-1", err: unreachable, method: "POST", path: "/v1/presets/peak/switch", body: switchBody, status: 503, kind: rest.TypeNoMajority, forwarded: 1},
		"read goes to the leader":        {leader: "b-1", method: "GET", path: "/v1/presets", status: 200, forwarded: 1},
		"read without a leader":          {method: "GET", path: "/v1/presets", status: 200},
		"read, leader is unreachable":    {leader: "b-1", err: unreachable, method: "GET", path: "/v1/presets", status: 200, forwarded: 1},
		"misspelt field is rejected":     {leader: "b-1", method: "POST", path: "/v1/presets/peak/switch", body: `{"comand":"c-1"}`, status: 400, kind: rest.TypeInvalid},
		"unknown path is not found":      {method: "GET", path: "/v1/nothing", status: 404, kind: rest.TypeNotFound},
		"method is not accepted":         {method: "PUT", path: "/v1/presets", status: 405, kind: rest.TypeMethod},
		"unknown preset is not found":    {method: "GET", path: "/v1/presets/none", status: 404, kind: rest.TypeNotFound},
		"starting VM is not ready":       {method: "GET", path: "/readyz", status: 503},
		"starting VM is alive":           {method: "GET", path: "/healthz", status: 200},
		"misspelt filter is rejected":    {method: "GET", path: "/v1/events?jb=x", status: 400, kind: rest.TypeInvalid},
		"job without a team is rejected": {method: "POST", path: "/v1/jobs", body: `{"id":"j","tasks":1,"size":{"milliCpu":1}}`, status: 400, kind: rest.TypeInvalid},
		"report of an unnamed worker":    {method: "POST", path: "/v1/workers/report", body: `{"rack":"r"}`, status: 400, kind: rest.TypeInvalid},
		"preset with two faults":         {leader: "b-1", method: "POST", path: "/v1/presets", body: `{"preset":{"name":"A","deadlineMs":1}}`, status: 400, kind: rest.TypeInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			fwd := &fakeForwarder{err: tc.err}
			status, kind := serve(tc.leader, fwd, tc.method, tc.path, tc.body)
			if status != tc.status || kind != tc.kind || len(fwd.calls) != tc.forwarded {
				t.Errorf("status %d, type %q, %d forwarded, want %d, %q, %d", status, kind, len(fwd.calls), tc.status, tc.kind, tc.forwarded)
			}
		})
	}
}

// Guards against a call that two VMs forward to each other without end, because
// each has the other one as the leader.
func TestForwardingEnds(t *testing.T) {
	por := Ports{Fleet: &fakeFleet{leader: "b-1"}, Local: fakeLocal{}, Forward: &fakeForwarder{}}
	rep := NewMux(por).Serve(context.Background(), Call{Method: "POST", Target: "/v1/presets/peak/switch", Body: []byte(switchBody), Hops: maxHops})
	if rep.Status != http.StatusServiceUnavailable {
		t.Errorf("status %d after %d hops", rep.Status, maxHops)
	}
}
