package quorum

import (
	"testing"

	"guavarail/core/model"
)

// Guards against a commit with fewer disks than an election finds or than
// Config.MinCopies, and against a group that needs more disks than it has.
func TestCommitCopies(t *testing.T) {
	tests := []struct{ voters, minCopies, want int }{
		{1, 0, 1},
		{1, 2, 1},
		{2, 3, 2},
		{3, 2, 2},
		{3, 3, 3},
		{4, 3, 3},
		{5, 3, 3},
		{6, 3, 4},
	}
	for _, tt := range tests {
		var lst []Member
		for pos := range tt.voters {
			lst = append(lst, NewMember(model.VMID(rune('a'+pos)), "disk", true))
		}
		if got := NewMembers(false, lst...).CommitCopies(tt.minCopies); got != tt.want {
			t.Errorf("%d voters, MinCopies %d: %d copies, want %d", tt.voters, tt.minCopies, got, tt.want)
		}
		if got := NewMembers(true, lst...).CommitCopies(tt.minCopies); got != tt.voters {
			t.Errorf("%d voters during bootstrap: %d copies, want all", tt.voters, got)
		}
	}
}
