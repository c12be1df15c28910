package show

import (
	"cmp"
	"slices"
	"strings"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// reasonTexts maps each reason that the API reports to its explanation.
var reasonTexts = map[string]string{
	"queued":              "it has not been considered yet",
	"noCapacity":          "no worker has enough free resources",
	"quota":               "the team has used up its quota",
	"batchShare":          "batch work holds its share of the processors",
	"centreOut":           "operators took the data centre out of service",
	"noPermission":        "the data centre has no start permission; it cannot reach the fleet leader",
	"admission":           "the data centre returns to service in steps",
	"urgent":              "urgent work needed the resources",
	"reclaim":             "the team had borrowed quota that its owner needs",
	"interference":        "it slowed a service down",
	"growth":              "it grew beyond what fits on the worker",
	"drain":               "the data centre is being drained",
	"workerShrunk":        "the worker reported a smaller size",
	"cancelled":           "it was cancelled",
	"noWorkerLargeEnough": "no worker is large enough",
	"keepsFailing":        "it failed on several workers",
}

// reasonText returns the explanation of a reason. It returns a reason that is not in
// reasonTexts, such as one that a newer server added, unchanged.
func reasonText(reason string) string {
	if text, ok := reasonTexts[reason]; ok {
		return text
	}
	return reason
}

// reasonOf returns the reason for the state of a task. For a waiting task without
// a reason it is that of its last history entry.
func reasonOf(task rest.Task) string {
	if task.Reason == "" && task.State == "waiting" && len(task.History) > 0 {
		return task.History[len(task.History)-1].Reason
	}
	return task.Reason
}

// explainState returns why a task is in its state, for how long it has waited and
// whether it uses borrowed quota. It returns an empty text if there is nothing to
// explain.
func explainState(task rest.Task) string {
	var parts []string
	if reason := reasonOf(task); reason != "" && reason != "none" {
		parts = append(parts, reasonText(reason))
	}
	if task.Detail != "" {
		parts = append(parts, task.Detail)
	}
	if task.WaitingMs > 0 {
		parts = append(parts, "for "+shell.Millis(task.WaitingMs))
	}
	if task.Borrowed {
		parts = append(parts, "on borrowed quota")
	}
	return strings.Join(parts, ", ")
}

// nextByReason maps the reason why a task waits to what has to happen before it
// starts.
var nextByReason = map[string]string{
	"queued":       "the scheduler places it in its next round",
	"noCapacity":   "it starts when a worker has room",
	"quota":        "it starts when tasks of the team end or another team leaves quota unused",
	"batchShare":   "it starts when batch tasks end or a preset with a larger share is active",
	"centreOut":    "it starts after guavarail centre in",
	"noPermission": "it starts once the fleet leader can be reached",
	"admission":    "it starts within the 8 s of the return",
}

// describeNext returns what happens to the task next, unless an operator intervenes.
func describeNext(task rest.Task) string {
	switch task.State {
	case "waiting":
		text, ok := nextByReason[reasonOf(task)]
		if !ok {
			text = "it starts when a worker has room"
		}
		if task.Checkpoint != nil {
			text += ", from checkpoint " + checkpointText(*task.Checkpoint)
		}
		return text
	case "starting":
		return "the worker confirms the start, or the attempt is given up when its lease ends"
	case "running":
		return "it runs until it ends; if its worker stops reporting, the next attempt starts after 10.5 s"
	case "stopping":
		return "the worker confirms the stop"
	}
	return "nothing; the task has ended"
}

func checkpointText(cp rest.Checkpoint) string {
	return shell.Int(cp.Sequence) + " of attempt " + shell.Int(cp.Attempt)
}

// entryTexts maps each kind of history entry to its description. A kind that is not
// listed is shown unchanged.
var entryTexts = map[string]string{
	"queued":               "was queued",
	"started":              "was started",
	"running":              "runs",
	"checkpointUnreadable": "could not read its checkpoint and used the one before",
	"stopAsked":            "was asked to stop",
	"succeeded":            "finished",
	"failed":               "failed",
	"stopped":              "was stopped",
	"lost":                 "was lost: its lease ended without a report",
	"notStarted":           "was refused by the worker; nothing ran",
	"closed":               "was closed",
}

// describeEntry returns a sentence about one history entry.
func describeEntry(ent rest.HistoryEntry) string {
	out := "it "
	if ent.Attempt > 0 {
		out = "attempt " + shell.Int(ent.Attempt) + " "
	}
	text, ok := entryTexts[ent.Kind]
	if !ok {
		text = ent.Kind
	}
	out += text
	if ent.Worker != "" {
		out += " on " + ent.Worker
	}
	if ent.Reason != "" && ent.Reason != "none" {
		out += ", because " + reasonText(ent.Reason)
	}
	return out
}

// maxBriefEntries is the largest number of history entries in one table row.
const maxBriefEntries = 4

// briefHistory returns the last history entries as one table cell.
func briefHistory(entries []rest.HistoryEntry) string {
	var out []string
	for _, ent := range entries[max(0, len(entries)-maxBriefEntries):] {
		text := ent.Kind
		if ent.Worker != "" {
			text += " " + ent.Worker
		}
		if ent.Reason != "" && ent.Reason != "none" {
			text += " (" + ent.Reason + ")"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

// stateRank has the sort rank of each task state: states that need an explanation
// come first.
var stateRank = map[string]int{"failed": 0, "waiting": 1, "stopping": 2, "starting": 3, "running": 4, "cancelled": 5, "finished": 6}

// sortedByRank returns the tasks ordered by stateRank, then by index.
func sortedByRank(tas []rest.Task) []rest.Task {
	out := slices.Clone(tas)
	slices.SortStableFunc(out, func(ta, tb rest.Task) int {
		return cmp.Or(cmp.Compare(stateRank[ta.State], stateRank[tb.State]), cmp.Compare(ta.Index, tb.Index))
	})
	return out
}
