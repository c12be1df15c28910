package cell

import (
	"errors"
	"math"
	"testing"
	"time"

	"guavarail/core/flow"
	"guavarail/core/model"
	"guavarail/core/share"
)

// testQueue returns a queue: a valid specification after change has modified
// it.
func testQueue(change func(spec *QueueSpec)) Queue {
	spec := QueueSpec{Name: "q", Host: "a.example", Prefix: "/q/", Service: "desk", Timeout: time.Second}
	change(&spec)
	return NewQueue(spec)
}

func testDocument(t *testing.T, version uint64, queues ...Queue) Document {
	t.Helper()
	doc, err := NewDocument(DocumentSpec{
		Version: version, Text: []byte{byte(version)}, Queues: queues, Services: []Service{NewService("desk", true)},
	})
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

// Guards against accepting an invalid configuration in part.
func TestDocumentIsCheckedAsAWhole(t *testing.T) {
	valid := testQueue(func(*QueueSpec) {})
	desk := []Service{NewService("desk", true)}
	tests := []struct {
		name string
		spec DocumentSpec
	}{
		{"no version", DocumentSpec{Queues: []Queue{valid}, Services: desk}},
		{"unknown service", DocumentSpec{Version: 1, Queues: []Queue{valid}}},
		{"no timeout", DocumentSpec{Version: 1, Services: desk, Queues: []Queue{testQueue(func(sp *QueueSpec) { sp.Timeout = 0 })}}},
		{"no host", DocumentSpec{Version: 1, Services: desk, Queues: []Queue{testQueue(func(sp *QueueSpec) { sp.Host = "" })}}},
		{"same host and prefix twice", DocumentSpec{Version: 1, Services: desk, Queues: []Queue{valid, testQueue(func(sp *QueueSpec) {
			sp.Name, sp.Host = "r", "A.example"
		})}}},
		{"host that is not UTF-8", DocumentSpec{Version: 1, Services: desk, Queues: []Queue{testQueue(func(sp *QueueSpec) { sp.Host = "\xff" })}}},
		{"prefix that is not UTF-8", DocumentSpec{Version: 1, Services: desk, Queues: []Queue{testQueue(func(sp *QueueSpec) { sp.Prefix = "/\xff" })}}},
		{"name that is not UTF-8", DocumentSpec{Version: 1, Services: desk, Queues: []Queue{testQueue(func(sp *QueueSpec) { sp.Name = "\xff" })}}},
		{"service that is not UTF-8", DocumentSpec{Version: 1, Services: []Service{NewService("\xff", true)}}},
		{"key of two workspaces", DocumentSpec{Version: 1, Workspaces: []Workspace{testWorkspace("a", 1, "k1", "k2"), testWorkspace("b", 1, "k2")}}},
		{"workspace twice", DocumentSpec{Version: 1, Workspaces: []Workspace{testWorkspace("a", 1, "k1"), testWorkspace("a", 1, "k2")}}},
		{"workspace without a name", DocumentSpec{Version: 1, Workspaces: []Workspace{testWorkspace("", 1, "k1")}}},
		{"empty key", DocumentSpec{Version: 1, Workspaces: []Workspace{testWorkspace("a", 1, "")}}},
		{"negative weight", DocumentSpec{Version: 1, Workspaces: []Workspace{testWorkspace("a", -1, "k1")}}},
		{"infinite weight", DocumentSpec{Version: 1, Workspaces: []Workspace{testWorkspace("a", math.Inf(1), "k1")}}},
		{"service twice", DocumentSpec{Version: 1, Queues: []Queue{valid}, Services: append(desk, desk...)}},
	}
	for _, tt := range tests {
		if _, err := NewDocument(tt.spec); err == nil {
			t.Errorf("%s: accepted", tt.name)
		}
	}
}

// testWorkspace returns a workspace without a quota.
func testWorkspace(name model.WorkspaceID, weight float64, keys ...string) Workspace {
	return NewWorkspace(WorkspaceSpec{Name: name, Keys: keys, Terms: share.NewTerms(weight, model.Resources{})})
}

// Guards against a call that is served with a key that the document does not have, and
// against one that is refused although its queue is public.
func TestCallsAreAuthenticated(t *testing.T) {
	private, public := testQueue(func(*QueueSpec) {}), testQueue(func(sp *QueueSpec) { sp.Name, sp.Prefix, sp.Public = "p", "/p/", true })
	doc, err := NewDocument(DocumentSpec{
		Version: 1, Queues: []Queue{private, public}, Services: []Service{NewService("desk", true)},
		Workspaces: []Workspace{testWorkspace("a", 1, "k1", "k2")}, Keyed: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		name  string
		doc   Document
		queue Queue
		key   string
		want  model.WorkspaceID
		ok    bool
	}{
		{"known key", doc, private, "k2", "a", true},
		{"unknown key", doc, private, "k3", "", false},
		{"no key", doc, private, "", "", false},
		{"public queue, no key", doc, public, "", "", true},
		{"public queue, known key", doc, public, "k1", "a", true},
		{"public queue, unknown key", doc, public, "k3", "", false},
		{"document without workspaces", testDocument(t, 1, private), private, "k3", "", true},
	}
	for _, tt := range tests {
		if got, ok := tt.doc.Authenticate(tt.queue, tt.key); got != tt.want || ok != tt.ok {
			t.Errorf("%s: workspace %q, %v; want %q, %v", tt.name, got, ok, tt.want, tt.ok)
		}
	}
}

// Guards against routing a call to a queue although another queue with a longer
// prefix matches the path.
func TestLongestPrefixWins(t *testing.T) {
	doc := testDocument(t, 1, testQueue(func(*QueueSpec) {}), testQueue(func(sp *QueueSpec) { sp.Name, sp.Prefix = "deep", "/q/deep/" }))
	tests := []struct {
		host, path, queue, rest string
	}{
		{"a.example", "/q/1", "q", "1"},
		{"A.EXAMPLE", "/q/deep/2", "deep", "2"},
		{"b.example", "/q/1", "", ""},
		{"a.example", "/other/1", "", ""},
	}
	for _, tt := range tests {
		qu, rest, ok := doc.Find(tt.host, tt.path)
		if ok != (tt.queue != "") || qu.Spec().Name != tt.queue || rest != tt.rest {
			t.Errorf("%s%s: queue %q, rest %q, %v", tt.host, tt.path, qu.Spec().Name, rest, ok)
		}
	}
}

// Guards against replacing the configuration in effect by one with a lower
// version, or by another one with the same version.
func TestHighestVersionStays(t *testing.T) {
	var sta State
	for _, ver := range []uint64{3, 2, 3, 7, 5} {
		doc := testDocument(t, ver, testQueue(func(sp *QueueSpec) { sp.Timeout = time.Duration(ver) * time.Second }))
		before := sta.Document().Version()
		res := sta.Apply(Configure(doc))
		if want := max(before, ver); res.Version() != want || sta.Document().Version() != want {
			t.Fatalf("after version %d: %d in effect, want %d", ver, res.Version(), want)
		}
	}
	other := testDocument(t, 7, testQueue(func(sp *QueueSpec) { sp.Name = "other" }))
	sta.Apply(Configure(other))
	if got := sta.Document().Queues()[0].Spec().Name; got != "q" {
		t.Errorf("queue %q after another document of the same version, want q", got)
	}
}

// Guards against accepted jobs that no queue counts once a configuration has given their
// queue another name, and against jobs that another queue of their queue's old name counts.
func TestPendingJobsStayWithTheirHostAndPrefix(t *testing.T) {
	queue := func(name, host, prefix string) Queue {
		return NewQueue(QueueSpec{Name: name, Host: host, Prefix: prefix, Service: "svc", Timeout: time.Second})
	}
	var st State
	submit := func(id, queue string) {
		jo, err := flow.NewJob(flow.JobSpec{ID: model.JobID(id), Queue: queue, Service: "svc", Steps: []flow.StepSpec{{Tasks: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		st.Apply(Jobs(flow.Submit(jo)))
	}
	submit("a", queue("one", "Desk.example", "/fit/").Key())
	submit("b", queue("one", "desk.example", "/fit/").Key())
	// A job of an older version of the program carries the name.
	submit("c", "old")
	for _, tt := range []struct {
		queue Queue
		want  int
	}{
		{queue("one", "desk.example", "/fit/"), 2},
		{queue("two", "DESK.example", "/fit/"), 2},
		{queue("", "desk.example", "/fit/"), 2},
		{queue("one", "desk.example", "/other/"), 0},
		{queue("desk.example/fit/", "desk.example", "/other/"), 0},
		{queue("old", "desk.example", "/old/"), 1},
	} {
		if got := st.Pending(tt.queue); got != tt.want {
			t.Errorf("%q at %s: %d jobs pending, want %d", tt.queue.Spec().Name, tt.queue.Key(), got, tt.want)
		}
	}
}

// Guards against limits that no request could meet, or that a VM could not hold.
func TestLimitsAreChecked(t *testing.T) {
	for _, tc := range []struct {
		lim   Limits
		field string
	}{
		{Limits{}, ""},
		{Limits{MaxHeader: 16384, MaxBody: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second}, ""},
		{Limits{MaxHeader: -1}, "limits.maxHeader"},
		{Limits{MaxHeader: 2 << 20}, "limits.maxHeader"},
		{Limits{MaxBody: -1}, "limits.maxBody"},
		{Limits{MaxBody: 1 << 40}, "limits.maxBody"},
		{Limits{HeaderTimeout: -1}, "limits.headerTimeout"},
		{Limits{IdleTimeout: 2 * time.Hour}, "limits.idleTimeout"},
	} {
		_, err := NewDocument(DocumentSpec{Version: 1, Limits: tc.lim})
		var doc *DocumentError
		got := ""
		if errors.As(err, &doc) {
			got = doc.Faults()[0].Field()
		}
		if got != tc.field {
			t.Errorf("limits %+v: fault in %q, want %q", tc.lim, got, tc.field)
		}
	}
}
