package cell

import (
	"context"
	"time"

	"github.com/juju/errors"

	"guavarail/core/quorum"
	"guavarail/io/disk"
	"guavarail/io/host"
)

// restartPause is the pause before the first attempt to start a member whose disk
// failed. It doubles with each attempt up to maxRestartPause.
const (
	restartPause    = 500 * time.Millisecond
	maxRestartPause = 4 * time.Second
)

// keepMember starts the member of vm and starts it again each time its disk has failed:
// a disk may refuse writes for some seconds only, and a replica whose write failed no
// longer counts as a copy until then. The returned function stops the member.
func keepMember(ctx context.Context, vm *VM) (func(), error) {
	mem, stop, err := startMember(ctx, vm, false)
	if err != nil {
		return stop, err
	}
	vm.member.Store(mem)
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go vm.restartMember(ctx, mem, stop, done)
	return func() {
		cancel()
		<-done
	}, nil
}

// restartMember stops mem when ctx ends, and then closes done. Until then it starts the
// member again each time its disk has failed.
func (vm *VM) restartMember(ctx context.Context, mem *member, stop func(), done chan<- struct{}) {
	defer close(done)
	for mem.awaitDiskFailure(ctx) {
		vm.member.Store(nil)
		stop()
		if mem, stop = vm.retryStart(ctx); mem == nil {
			return
		}
		vm.member.Store(mem)
	}
	stop()
}

// retryStart starts the member once the disk works. It returns nil if ctx ends first.
func (vm *VM) retryStart(ctx context.Context) (*member, func()) {
	for pause := restartPause; ; pause = min(2*pause, maxRestartPause) {
		host.Pause(ctx, pause)
		if ctx.Err() != nil {
			return nil, nil
		}
		mem, stop, err := startMember(ctx, vm, true)
		if err == nil {
			return mem, stop
		}
		vm.log.Warn("member not started after its disk failed; it will be tried again", "error", err)
	}
}

// awaitDiskFailure returns true once the disk of the member has failed, and false if ctx
// ends first. After another failure, which a start would not mend, it waits for the end.
func (mem *member) awaitDiskFailure(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-mem.failed:
	}
	var failure *disk.FileError
	if errors.As(mem.ref.Err(ctx), &failure) {
		return true
	}
	<-ctx.Done()
	return false
}

// leased reports whether this VM leads under its lease.
func (vm *VM) leased() bool {
	mem := vm.member.Load()
	return mem != nil && mem.leased()
}

// workingDisk returns the identity of the disk of this VM, or "" if it has none or its
// replica has failed: the leader must not count it as a voter that is present.
func (vm *VM) workingDisk() quorum.DiskID {
	mem := vm.member.Load()
	if mem == nil || mem.hasFailed() {
		return ""
	}
	return mem.diskID
}
