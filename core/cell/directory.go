package cell

import (
	"maps"
	"slices"
	"time"

	"guavarail/core/model"
)

// announceTTL is how long a VM stays in a Directory after it has announced itself. While
// no leader answers, VMs announce themselves several times a second.
const announceTTL = 5 * time.Second

// Directory holds the VMs with a disk that have announced themselves lately. The zero
// value is empty.
type Directory struct {
	// heard is when each VM announced itself last.
	heard map[model.VMID]model.Instant
}

// Announce records that a VM with a disk has announced itself.
func (dir *Directory) Announce(now model.Instant, id model.VMID) {
	if dir.heard == nil {
		dir.heard = map[model.VMID]model.Instant{}
	}
	dir.heard[id] = now
}

// VMs drops the VMs that have not announced themselves for announceTTL and returns the
// others, ordered by name.
func (dir *Directory) VMs(now model.Instant) []model.VMID {
	maps.DeleteFunc(dir.heard, func(_ model.VMID, at model.Instant) bool { return now.Sub(at) > announceTTL })
	return slices.Sorted(maps.Keys(dir.heard))
}
