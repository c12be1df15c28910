package waves

import (
	"guavarail/core/model"
)

// list is the platform's list of machines. The zero value is empty.
type list struct {
	// machines is the last complete list, which was begun at begun; nil before the first.
	machines map[MachineID]Listed
	begun    model.Instant
	// completed is when the last page of machines was read.
	completed model.Instant
	// partial holds the pages of the list in progress, which was begun at partialBegun, and
	// token selects its next page. partial is nil between two lists.
	partial      map[MachineID]Listed
	partialBegun model.Instant
	token        string
	// failures counts the failures in a row to read the next page.
	failures int
	// next is when the next list may begin.
	next model.Instant
	// complete counts the complete lists, and lastSeen has the number of the last one with a
	// machine; 0 for none.
	complete int
	lastSeen map[MachineID]int
}

// due reports whether a page should be read.
func (li *list) due(now model.Instant) bool { return li.partial != nil || !now.Before(li.next) }

// begin returns the token of the page to read.
func (li *list) begin(now model.Instant) string {
	if li.partial == nil {
		li.partial, li.partialBegun, li.token = map[MachineID]Listed{}, now, ""
	}
	return li.token
}

// failed notes that a page was not read. The list in progress goes on with the same page,
// unless that fails maxFailures times in a row.
func (li *list) failed(now model.Instant) {
	if li.failures++; li.failures >= maxFailures {
		li.drop(now)
	}
}

// drop drops the list in progress.
func (li *list) drop(now model.Instant) {
	li.partial, li.failures, li.token, li.next = nil, 0, "", now.Add(listInterval)
}

// add adds a page. It reports whether the list is complete. A token that leads back to the
// same page ends the list as failed.
func (li *list) add(now model.Instant, msg *Page) bool {
	if li.partial == nil {
		return false
	}
	li.failures = 0
	for _, mac := range msg.Machines {
		li.partial[mac.ID] = mac
	}
	if msg.Next != "" {
		if msg.Next == li.token {
			li.drop(now)
			return false
		}
		li.token = msg.Next
		return false
	}
	if len(li.partial) == 0 {
		// The answer of a faulty platform would complete each wave.
		li.drop(now)
		return false
	}
	li.machines, li.begun, li.completed = li.partial, li.partialBegun, now
	li.complete++
	if li.lastSeen == nil {
		li.lastSeen = map[MachineID]int{}
	}
	for id := range li.machines {
		li.lastSeen[id] = li.complete
	}
	li.partial, li.token, li.next = nil, "", now.Add(listInterval)
	return true
}

// fresh reports whether the list tells which worker a machine has now.
func (li *list) fresh(now model.Instant) bool {
	return li.machines != nil && now.Sub(li.completed) <= maxListAge+maxListTurns*li.completed.Sub(li.begun)
}

// gone reports whether a machine no longer exists.
func (li *list) gone(id MachineID) bool { return li.complete-li.lastSeen[id] >= absences }
