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
	// after is the sequence of the last event that was read, in the given
	// epoch of the VM.
	after uint64
	epoch string
	// down reports that the last read failed.
	down bool
}

// reading is what one read of a source gave.
type reading struct {
	src *source
	// events has what was read before err.
	events  []rest.Event
	dropped uint64
	err     error
}

// batch is what one round over all sources gave.
type batch struct {
	events []rest.Event
	// readings are in the order of the sources.
	readings []reading
	// changed has the sources that went down or came back in this round.
	changed []reading
}

// readAll reads all sources at the same time and merges their newest events, at
// most limit of each. A source
// is only used by its goroutine until that has delivered its reading.
func readAll(ctx context.Context, srs []*source, que rest.EventQuery, limit int) batch {
	results := make([]chan reading, len(srs))
	for i, src := range srs {
		results[i] = make(chan reading, 1)
		go src.read(ctx, que, results[i])
	}
	var bat batch
	for _, result := range results {
		rea := <-result
		bat.readings = append(bat.readings, rea)
		if down := rea.err != nil; down != rea.src.down || rea.dropped > 0 {
			bat.changed = append(bat.changed, rea)
			rea.src.down = down
		}
		bat.events = append(bat.events, rea.events[max(0, len(rea.events)-limit):]...)
	}
	slices.SortFunc(bat.events, compare)
	bat.events = slices.CompactFunc(bat.events, func(ea, eb rest.Event) bool { return compare(ea, eb) == 0 })
	return bat
}

// maxPages bounds the pages of one reading, so that a VM with many events does
// not hold up the others; the next reading goes on.
const maxPages = 50

// read delivers one reading and ends.
func (src *source) read(ctx context.Context, que rest.EventQuery, result chan<- reading) {
	rea := reading{src: src}
	for range maxPages {
		que.After, que.Epoch = src.after, src.epoch
		page, err := src.cl.Events(ctx, que)
		if err != nil {
			rea.err = err
			break
		}
		rea.events = append(rea.events, page.Events...)
		rea.dropped += page.Dropped
		more := page.Next != src.after || page.Epoch != src.epoch
		src.after, src.epoch = page.Next, page.Epoch
		if !more {
			break
		}
	}
	result <- rea
}

// compare orders events by the hybrid clock, which puts causes before effects,
// and then by VM, so that every operator sees the same order.
func compare(ea, eb rest.Event) int {
	return cmp.Or(cmp.Compare(ea.TimeMs, eb.TimeMs), cmp.Compare(ea.Count, eb.Count),
		cmp.Compare(ea.VM, eb.VM), cmp.Compare(ea.Sequence, eb.Sequence))
}

// any reports whether at least one source answered.
func (bat batch) any() bool { return bat.failure() == nil }

// failure returns the first failure when no source answered.
func (bat batch) failure() error {
	for _, rea := range bat.readings {
		if rea.err == nil {
			return nil
		}
	}
	if len(bat.readings) == 0 {
		return nil
	}
	return bat.readings[0].err
}

// notes says which VMs are missing from the events.
func (bat batch) notes() []string {
	var out []string
	for _, rea := range bat.changed {
		switch {
		case rea.err != nil:
			out = append(out, "VM "+rea.src.name+" cannot be read, its events are missing: "+rea.err.Error())
		case rea.dropped > 0:
			out = append(out, "VM "+rea.src.name+" no longer has "+shell.Int(rea.dropped)+" earlier events")
		default:
			out = append(out, "VM "+rea.src.name+" can be read again")
		}
	}
	return out
}

// about names what an event is about.
func about(ev rest.Event) string {
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

// details shows the fields in the order of their keys.
func details(ev rest.Event) string {
	var out []string
	for key, val := range ev.Fields {
		out = append(out, key+"="+val)
	}
	slices.Sort(out)
	return shell.OrDash(strings.Join(out, " "))
}
