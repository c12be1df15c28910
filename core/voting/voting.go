// Package voting chooses the membership changes with which a replication group
// replaces lost voters. Its callers decide which voters count as lost and which VMs
// may take their places.
package voting

import (
	"slices"
	"time"

	"guavarail/core/model"
	"guavarail/core/quorum"
)

// promotionRetry is the time for which a learner whose promotion failed is not
// promoted again.
const promotionRetry = 3 * time.Second

// Census is the state of a group at one moment. Next takes the first VM of a list.
type Census struct {
	// Wanted is the number of voters that the group is to have, and Min the one below
	// which no voter is removed for the sake of its own VM.
	Wanted, Min int
	// Voters is the number of voters, including those in Replaced and Lost.
	Voters int
	// Replaced are voters that count with a disk that their VM no longer has. The VM
	// can vote again only after its removal.
	Replaced []model.VMID
	// Lost are other voters whose place another VM is to take.
	Lost []model.VMID
	// Surplus are intact voters, in the order in which superfluous ones are removed.
	Surplus []model.VMID
	// Candidates are the next steps by which VMs become voters.
	Candidates []quorum.Change
	// Move is set if an intact voter is to give way to the first candidate.
	Move bool
	// Idle are learners to be removed.
	Idle []model.VMID
}

// Next returns the next membership change, or false if none is needed. A lost voter
// is removed after its replacement has been promoted, so that a committed entry stays
// on more disks than may be lost and the loss of other voters can be borne. Only a VM
// that is its own replacement is removed before, and only while there are more than
// Min voters. If a lost voter is back after the promotion, there is one voter too many
// and another one is removed.
func (cen Census) Next() (quorum.Change, bool) {
	lost := slices.Concat(cen.Replaced, cen.Lost)
	missing := cen.Wanted - (cen.Voters - len(lost))
	switch {
	case cen.Voters > cen.Wanted && len(lost) > 0:
		return quorum.NewChange(quorum.Remove, lost[0]), true
	case cen.Voters <= cen.Wanted && missing > 0 && len(cen.Candidates) > 0:
		return cen.Candidates[0], true
	case len(cen.Replaced) > 0 && cen.Voters > cen.Min:
		return quorum.NewChange(quorum.Remove, cen.Replaced[0]), true
	case cen.Voters > cen.Wanted && len(cen.Surplus) > 0:
		return quorum.NewChange(quorum.Remove, cen.Surplus[0]), true
	case cen.Voters == cen.Wanted && len(lost) == 0 && cen.Move && len(cen.Candidates) > 0:
		return cen.Candidates[0], true
	case len(cen.Idle) > 0:
		return quorum.NewChange(quorum.Remove, cen.Idle[0]), true
	}
	return quorum.Change{}, false
}

// Retries holds back promotions that failed recently, so that a learner that doesn't
// catch up gives way to other VMs. The zero value holds back none.
type Retries struct {
	// failedAt is the time of the last failed promotion of a VM.
	failedAt map[model.VMID]model.Instant
}

// Failed records that a change was rejected or did not take effect in time.
func (ret *Retries) Failed(now model.Instant, chg quorum.Change) {
	if chg.Kind() != quorum.Promote {
		return
	}
	if ret.failedAt == nil {
		ret.failedAt = map[model.VMID]model.Instant{}
	}
	ret.failedAt[chg.VM()] = now
}

// MayPromote reports whether no promotion of vm failed recently.
func (ret *Retries) MayPromote(now model.Instant, vm model.VMID) bool {
	at, ok := ret.failedAt[vm]
	return !ok || now.Sub(at) > promotionRetry
}
