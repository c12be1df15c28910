package timeline

import (
	"cmp"
	"context"
	"slices"
	"strings"

	"guavarail/io/client"
	"guavarail/io/cmd/shell"
	"guavarail/io/rest"
)

// source reads the events of one VM.
type source struct {
	name string
	cl   *client.Client
	// after is the sequence number of the last event that was read, in epoch. A VM
	// that restarts begins a new epoch and numbers its events from 1 again. epoch is empty before the first
	// read.
	after uint64
	epoch string
	// unreachable reports that the last read failed.
	unreachable bool
}

// readResult is the result of one read of a source.
type readResult struct {
	src *source
	// events are those that were read before err occurred.
	events []rest.Event
	// dropped counts the events that the VM overwrote before they were read.
	dropped uint64
	err     error
}

// batch is the result of one read of all sources.
type batch struct {
	events []rest.Event
	// results are in the order of the sources.
	results []readResult
	// changed has the results of sources that became unreachable, became reachable
	// again, or dropped events.
	changed []readResult
}

// readAll reads all sources concurrently and merges their newest events, at most
// limit of each. The goroutine that reads a source owns it until it has sent the
// result.
func readAll(ctx context.Context, srcs []*source, que rest.EventQuery, limit int) batch {
	results := make([]chan readResult, len(srcs))
	for i, src := range srcs {
		results[i] = make(chan readResult, 1)
		go src.read(ctx, que, results[i])
	}
	var bat batch
	for _, result := range results {
		res := <-result
		bat.results = append(bat.results, res)
		if unreachable := res.err != nil; unreachable != res.src.unreachable || res.dropped > 0 {
			bat.changed = append(bat.changed, res)
			res.src.unreachable = unreachable
		}
		bat.events = append(bat.events, res.events[max(0, len(res.events)-limit):]...)
	}
	slices.SortFunc(bat.events, compareEvents)
	bat.events = slices.CompactFunc(bat.events, func(ea, eb rest.Event) bool { return compareEvents(ea, eb) == 0 })
	return bat
}

// maxPages bounds the pages of one read, so that a VM with many events does not
// delay the others. The next read continues where this one ended.
const maxPages = 50

// read reads the events after src.after, at most maxPages pages, and sends one result.
func (src *source) read(ctx context.Context, que rest.EventQuery, result chan<- readResult) {
	res := readResult{src: src}
	for range maxPages {
		que.After, que.Epoch = src.after, src.epoch
		page, err := src.cl.Events(ctx, que)
		if err != nil {
			res.err = err
			break
		}
		res.events = append(res.events, page.Events...)
		res.dropped += page.Dropped
		more := page.Next != src.after || page.Epoch != src.epoch
		src.after, src.epoch = page.Next, page.Epoch
		if !more {
			break
		}
	}
	result <- res
}

// compareEvents orders events by their hybrid logical clock, which puts causes
// before effects, and then by VM, so that every operator sees the same order.
func compareEvents(ea, eb rest.Event) int {
	return cmp.Or(cmp.Compare(ea.TimeMs, eb.TimeMs), cmp.Compare(ea.Count, eb.Count),
		cmp.Compare(ea.VM, eb.VM), cmp.Compare(ea.Sequence, eb.Sequence))
}

// answered reports whether at least one source answered.
func (bat batch) answered() bool { return bat.failure() == nil }

// failure returns the first error if there are sources and none answered.
func (bat batch) failure() error {
	for _, res := range bat.results {
		if res.err == nil {
			return nil
		}
	}
	if len(bat.results) == 0 {
		return nil
	}
	return bat.results[0].err
}

// messages returns one message for each result in changed.
func (bat batch) messages() []string {
	var out []string
	for _, res := range bat.changed {
		switch {
		case res.err != nil:
			out = append(out, "VM "+res.src.name+" cannot be read, its events are missing: "+res.err.Error())
		case res.dropped > 0:
			out = append(out, "VM "+res.src.name+" no longer has "+shell.Int(res.dropped)+" earlier events")
		default:
			out = append(out, "VM "+res.src.name+" can be read again")
		}
	}
	return out
}

// subject returns the kinds and names of the objects that an event is about, or a dash
// if there are none.
func subject(ev rest.Event) string {
	var out []string
	add := func(kind, name string) {
		if name != "" {
			out = append(out, kind+" "+name)
		}
	}
	add("task", ev.Task)
	if ev.Task == "" {
		add("job", ev.Job)
	}
	add("request", ev.Request)
	add("worker", ev.Worker)
	add("backend server", ev.Backend)
	add("VM", ev.SubjectVM)
	return shell.OrDash(strings.Join(out, ", "))
}

// details formats the fields of an event, sorted by key, or a dash if there are none.
func details(ev rest.Event) string {
	var out []string
	for key, val := range ev.Fields {
		out = append(out, key+"="+val)
	}
	slices.Sort(out)
	return shell.OrDash(strings.Join(out, " "))
}
