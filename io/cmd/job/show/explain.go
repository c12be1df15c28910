package show

import (
	"cmp"
	"slices"
	"strings"

	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// reasonTexts has the explanations of the reasons that the API reports.
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

// reasonText returns the explanation of a reason. A reason of a newer server is
// returned unchanged.
func reasonText(reason string) string {
	if text, ok := reasonTexts[reason]; ok {
		return text
	}
	return reason
}

// reasonOf returns the reason for the state of a task. For a waiting task without
// a reason it is the one of its last step.
func reasonOf(task rest.Task) string {
	if task.Reason == "" && task.State == "waiting" && len(task.History) > 0 {
		return task.History[len(task.History)-1].Reason
	}
	return task.Reason
}

// explainState returns why a task is in its state, and for how long it waits.
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

// nextByReason maps the reason why a task waits to what happens to it next.
var nextByReason = map[string]string{
	"queued":       "the scheduler places it in its next round",
	"noCapacity":   "it starts when a worker has room",
	"quota":        "it starts when tasks of the team end or another team leaves quota unused",
	"batchShare":   "it starts when batch tasks end or a preset with a larger share is active",
	"centreOut":    "it starts after guavarail centre in",
	"noPermission": "it starts once the fleet leader can be reached",
	"admission":    "it starts within the 8 s of the return",
}

// nextStep returns what happens to the task next if no operator intervenes.
func nextStep(task rest.Task) string {
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

// stepTexts has the explanations of the kinds of steps. A kind that is not listed
// is shown unchanged.
var stepTexts = map[string]string{
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

// describeStep returns a sentence about one step.
func describeStep(step rest.HistoryEntry) string {
	out := "it "
	if step.Attempt > 0 {
		out = "attempt " + shell.Int(step.Attempt) + " "
	}
	text, ok := stepTexts[step.Kind]
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

// maxBriefSteps bounds the steps in one table row.
const maxBriefSteps = 4

// briefHistory returns the last steps for one table cell.
func briefHistory(all []rest.HistoryEntry) string {
	var out []string
	for _, step := range all[max(0, len(all)-maxBriefSteps):] {
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

// stateRank orders the states of tasks: those that need an explanation come first.
var stateRank = map[string]int{"failed": 0, "waiting": 1, "stopping": 2, "starting": 3, "running": 4, "cancelled": 5, "finished": 6}

// sortedByRank returns the tasks ordered by stateRank, then by index.
func sortedByRank(tas []rest.Task) []rest.Task {
	out := slices.Clone(tas)
	slices.SortStableFunc(out, func(ta, tb rest.Task) int {
		return cmp.Or(cmp.Compare(stateRank[ta.State], stateRank[tb.State]), cmp.Compare(ta.Index, tb.Index))
	})
	return out
}
