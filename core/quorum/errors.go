package quorum

import (
	"strconv"

	"guavarail/core/model"
)

// NotLeaderError reports that a command was not added to the log, because this
// replica does not lead its group.
type NotLeaderError struct{ leader model.VMID }

// NewNotLeaderError returns the error; leader is empty when it is not known.
func NewNotLeaderError(leader model.VMID) *NotLeaderError { return &NotLeaderError{leader: leader} }

// Leader returns the leader, or "" when it is not known.
func (err *NotLeaderError) Leader() model.VMID { return err.leader }

// Error describes the failure.
func (err *NotLeaderError) Error() string {
	if err.leader == "" {
		return "not the leader and no leader is known, retry later"
	}
	return "not the leader, ask " + string(err.leader)
}

// ChangeError reports that a membership change was refused.
type ChangeError struct {
	vm     model.VMID
	reason string
}

// VM returns the VM that the change was about.
func (err *ChangeError) VM() model.VMID { return err.vm }

// Error describes the failure.
func (err *ChangeError) Error() string {
	return "change of member " + string(err.vm) + ": " + err.reason
}

// TransferError reports that leadership was not handed over.
type TransferError struct{ reason string }

// Error describes the failure.
func (err *TransferError) Error() string { return "transfer leadership: " + err.reason }

// StaleDiskError reports a disk that holds less than it has acknowledged, such
// as an older copy.
type StaleDiskError struct {
	disk  DiskID
	last  uint64
	acked uint64
}

// Last returns the last entry on the disk.
func (err *StaleDiskError) Last() uint64 { return err.last }

// Acked returns the entry that the disk has acknowledged.
func (err *StaleDiskError) Acked() uint64 { return err.acked }

// Error describes the failure.
func (err *StaleDiskError) Error() string {
	return "disk " + string(err.disk) + " ends at entry " + strconv.FormatUint(err.last, 10) +
		" but has acknowledged " + strconv.FormatUint(err.acked, 10) + ", replace the voter"
}

// ConflictError reports that a leader's log contradicts a committed entry.
type ConflictError struct{ index uint64 }

// Index returns the contradicted entry.
func (err *ConflictError) Index() uint64 { return err.index }

// Error describes the failure.
func (err *ConflictError) Error() string {
	return "committed entry " + strconv.FormatUint(err.index, 10) + " contradicts the leader, replace the voter"
}
