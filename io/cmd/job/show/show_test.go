package show

import (
	"bytes"
	"strings"
	"testing"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
	"guavarail/io/term"
)

// testJob returns a job of 20 tasks of which 18 have finished; the other two are
// added by the test.
func testJob() rest.Job {
	jo := rest.Job{
		ID: "alloc", Centre: "musanze", Team: "fleet", Priority: "batch", Kind: "alloc", State: "running",
		Size: rest.Resources{MilliCPU: 1500, MemoryMB: 8000, Accelerators: 1}, Counts: rest.Counts{Waiting: 1, Running: 1, Finished: 18},
	}
	for i := range 18 {
		jo.Tasks = append(jo.Tasks, rest.Task{Index: i, State: "finished"})
	}
	return jo
}

// output returns what show prints to the standard output.
func output(t *testing.T, show func(env shell.Env) error) string {
	t.Helper()
	var out bytes.Buffer
	if err := show(shell.Env{Streams: term.New(nil, &out, nil, false)}); err != nil {
		t.Fatal(err)
	}
	return out.String()
}

// Guards against an evicted task that the output leaves out or does not explain: it
// has to come before the finished tasks, with the reason why it waits, where it ran,
// why it was evicted and what happens next.
func TestEvictedTaskIsExplained(t *testing.T) {
	jo := testJob()
	jo.Tasks = append(jo.Tasks, rest.Task{Index: 18, State: "running", Attempt: 1, Worker: "w2", Rack: "r1"}, rest.Task{
		Index: 19, State: "waiting", Reason: "quota", WaitingMs: 5000, Attempt: 1, Checkpoint: &rest.Checkpoint{Attempt: 1, Sequence: 3},
		History: []rest.HistoryEntry{
			{Kind: "queued", Reason: "queued"},
			{Kind: "started", Attempt: 1, Worker: "w1"},
			{Kind: "stopAsked", Attempt: 1, Worker: "w1", Reason: "urgent"},
			{Kind: "stopped", Attempt: 1, Worker: "w1"},
		},
	})
	lines := strings.Split(output(t, func(env shell.Env) error { return showJob(env, jo) }), "\n")
	if !strings.HasPrefix(lines[4], "19\twaiting\t1\t-\t-\tthe team has used up its quota, for 5s\t") {
		t.Errorf("first task %q, want the waiting one", lines[4])
	}
	if len(lines) > 24 || !strings.Contains(strings.Join(lines, "\n"), "8 more tasks") {
		t.Errorf("%d lines, want one screen that counts the rest", len(lines))
	}
	text := output(t, func(env shell.Env) error { return showTask(env, jo, 19) })
	for _, want := range []string{
		"1.5 cpu, 8000 MB, 1 acc for each of 20 tasks",
		"attempt 1 was started on w1",
		"attempt 1 was asked to stop on w1, because urgent work needed the resources",
		"next: it starts when tasks of the team end or another team leaves quota unused, from checkpoint 3 of attempt 1",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("%s\ndoes not say %q", text, want)
		}
	}
}

// Guards against leaving out the reasons and the kinds of history entries that a
// newer server added.
func TestUnknownReasonsAndStepsAreShown(t *testing.T) {
	text := describeEntry(rest.HistoryEntry{Kind: "moved", Reason: "balance", Attempt: 2})
	if text != "attempt 2 moved, because balance" {
		t.Errorf("sentence %q", text)
	}
}
