package quorum

import (
	"strconv"

	"guavarail/core/model"
)

// NotLeaderError reports that a request was rejected because this replica does
// not lead its group. Nothing was added to the log.
type NotLeaderError struct{ leader model.VMID }

// NewNotLeaderError returns the error. leader is the VM to ask instead, or
// empty if it is unknown.
func NewNotLeaderError(leader model.VMID) *NotLeaderError { return &NotLeaderError{leader: leader} }

// Leader returns the VM to ask instead, or "" if it is unknown.
func (err *NotLeaderError) Leader() model.VMID { return err.leader }

// Error describes the failure.
func (err *NotLeaderError) Error() string {
	if err.leader == "" {
		return "not the leader and no leader is known, retry later"
	}
	return "not the leader, ask " + string(err.leader)
}

// ChangeError reports that a membership change was rejected. Nothing was added
// to the log.
type ChangeError struct {
	vm     model.VMID
	reason string
}

// VM returns the VM that the change would have added, promoted or removed.
func (err *ChangeError) VM() model.VMID { return err.vm }

// Error describes the failure.
func (err *ChangeError) Error() string {
	return "change of member " + string(err.vm) + ": " + err.reason
}

// TransferError reports that a leadership transfer was rejected or has failed.
type TransferError struct{ reason string }

// Error describes the failure.
func (err *TransferError) Error() string { return "transfer leadership: " + err.reason }

// StaleDiskError reports a disk whose log ends before a committed entry that the
// disk has acknowledged to a leader, such as a disk restored from an older copy.
type StaleDiskError struct {
	disk DiskID
	// last is the index of the last entry on the disk.
	last uint64
	// acked is the index of the last committed entry that the disk is known to
	// have acknowledged.
	acked uint64
}

// Last returns the index of the last entry on the disk.
func (err *StaleDiskError) Last() uint64 { return err.last }

// Acked returns the index of the last committed entry that the disk is known to
// have acknowledged.
func (err *StaleDiskError) Acked() uint64 { return err.acked }

// Error describes the failure.
func (err *StaleDiskError) Error() string {
	return "disk " + string(err.disk) + " ends at entry " + strconv.FormatUint(err.last, 10) +
		" but has acknowledged " + strconv.FormatUint(err.acked, 10) + ", replace the voter"
}

// ConflictError reports that the leader sent an entry whose term differs from
// that of a committed entry with the same index.
type ConflictError struct{ index uint64 }

// Index returns the index of the conflicting entry.
func (err *ConflictError) Index() uint64 { return err.index }

// Error describes the failure.
func (err *ConflictError) Error() string {
	return "committed entry " + strconv.FormatUint(err.index, 10) + " contradicts the leader, replace the voter"
}
