package show

import (
	"cmp"
	"slices"
	"strings"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// reasons explains the reasons of the API.
var reasons = map[string]string{
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

func reasonText(reason string) string {
	if text, ok := reasons[reason]; ok {
		return text
	}
	return reason
}

// reasonOf returns the reason for the state of a task. A waiting task without
// one has the reason of its last step.
func reasonOf(task rest.Task) string {
	if task.Reason == "" && task.State == "waiting" && len(task.History) > 0 {
		return task.History[len(task.History)-1].Reason
	}
	return task.Reason
}

// why explains the state of a task.
func why(task rest.Task) string {
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

// nexts says what happens to a waiting task, by reason.
var nexts = map[string]string{
	"queued":       "the scheduler places it in its next round",
	"noCapacity":   "it starts when a worker has room",
	"quota":        "it starts when tasks of the team end or another team leaves quota unused",
	"batchShare":   "it starts when batch tasks end or a preset with a larger share is active",
	"centreOut":    "it starts after guavarail centre in",
	"noPermission": "it starts once the fleet leader can be reached",
	"admission":    "it starts within the 8 s of the return",
}

// next says what happens to the task without anybody doing anything.
func next(task rest.Task) string {
	switch task.State {
	case "waiting":
		text, ok := nexts[reasonOf(task)]
		if !ok {
			text = "it starts when a worker has room"
		}
		if task.Checkpoint != nil {
			text += ", from checkpoint " + checkpoint(*task.Checkpoint)
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

func checkpoint(cp rest.Checkpoint) string {
	return shell.Int(cp.Sequence) + " of attempt " + shell.Int(cp.Attempt)
}

// steps explains the kinds of steps; a missing kind is shown as it is.
var steps = map[string]string{
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

// sentence explains one step.
func sentence(step rest.HistoryEntry) string {
	out := "it "
	if step.Attempt > 0 {
		out = "attempt " + shell.Int(step.Attempt) + " "
	}
	text, ok := steps[step.Kind]
	if !ok {
		text = step.Kind
	}
	out += text
	if step.Worker != "" {
		out += " on " + step.Worker
	}
	if step.Reason != "" && step.Reason != "none" {
		out += ", because " + reasonText(step.Reason)
	}
	return out
}

// maxBrief bounds the steps of one table row.
const maxBrief = 4

// brief shows the last steps in one cell.
func brief(all []rest.HistoryEntry) string {
	var out []string
	for _, step := range all[max(0, len(all)-maxBrief):] {
		text := step.Kind
		if step.Worker != "" {
			text += " " + step.Worker
		}
		if step.Reason != "" && step.Reason != "none" {
			text += " (" + step.Reason + ")"
		}
		out = append(out, text)
	}
	return strings.Join(out, ", ")
}

// rank orders states by how much an operator wants to know about them.
var rank = map[string]int{"failed": 0, "waiting": 1, "stopping": 2, "starting": 3, "running": 4, "cancelled": 5, "finished": 6}

// ranked returns the tasks that need an explanation first.
func ranked(tas []rest.Task) []rest.Task {
	out := slices.Clone(tas)
	slices.SortStableFunc(out, func(ta, tb rest.Task) int {
		return cmp.Or(cmp.Compare(rank[ta.State], rank[tb.State]), cmp.Compare(ta.Index, tb.Index))
	})
	return out
}
