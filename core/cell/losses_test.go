package cell

import (
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"guavarail/core/model"
)

// lossRuns returns the number of seeds of a test, which the environment variable
// GUAVARAIL_LOSS_RUNS overrides.
func lossRuns() uint64 {
	if num, err := strconv.ParseUint(os.Getenv("GUAVARAIL_LOSS_RUNS"), 10, 32); err == nil {
		return num
	}
	return 12
}

// Guards against an acknowledged entry that is lost with the disks that the cell
// must bear to lose: it must be on the disks of more voters than may be lost at
// once, while VMs lose their disks, replacements are dark or slow, and all VMs
// lose power. After the loss of as many disks as allowed at once, with all other
// VMs without power, the next leader must have every acknowledged entry.
func TestAcknowledgedEntryIsOnMoreDisksThanMayBeLost(t *testing.T) {
	for seed := range lossRuns() {
		losses := 1 + int(seed%2)
		s := newCellSim(seed, losses, 2*losses+1+int(seed/2%4))
		s.propose(3 * time.Second)
		for range 6 {
			s.disturb()
		}
		s.finalLoss()
		s.report(t, seed)
	}
}

// report fails the test if there are violations.
func (s *cellSim) report(t *testing.T, seed uint64) {
	t.Helper()
	t.Logf("seed %d: %d VMs, losses %d, %d acknowledged, fewest copies %d", seed, len(s.vms), s.losses, len(s.acked), s.fewest)
	if len(s.errs) > 0 {
		t.Errorf("seed %d, losses %d: %d violations, first: %s\n%s", seed, s.losses, len(s.errs), s.errs[0], s.describe())
	}
}

// Guards against an acknowledged entry that is lost, two votes of a VM in a term and a
// cell without a quorum, when disks are slow, hang or refuse writes while others are
// lost, and the last loss follows a membership change.
func TestFaultyDisksBesideLostOnes(t *testing.T) {
	for seed := range lossRuns() / 3 {
		losses := 1 + int(seed%2)
		s := newCellSim(seed+1000, losses, 2*losses+1+int(seed/2%4))
		s.untilRepaired = true
		s.propose(3 * time.Second)
		for range 5 {
			s.disturbDisks()
		}
		s.calm()
		s.propose(s.upTo(3 * time.Second))
		s.awaitChange()
		s.finalLoss()
		s.report(t, seed)
	}
}

// Guards against a cell that stops for good while a copy is missing that another
// VM could hold: of the three first voters, one is lost before there are enough
// voters to bear that, and the leader restarts. The other VMs must replace it.
func TestCellGrowsWhileACopyIsMissing(t *testing.T) {
	for seed := range lossRuns() {
		s := newCellSim(seed, 2, 5)
		s.setDark(s.vms[3], true)
		s.setDark(s.vms[4], true)
		first := s.awaitLeader(10 * time.Second)
		if first == nil {
			t.Fatalf("seed %d: no first leader\n%s", seed, s.describe())
		}
		lost := s.vms[(slices.Index(s.vms, first)+1)%3]
		s.crash(lost)
		s.restartLater(first)
		s.propose(5 * time.Second)
		if count := len(s.acked); count > 0 {
			t.Errorf("seed %d: %d entries acknowledged with two of three voters", seed, count)
		}
		s.setDark(s.vms[3], false)
		s.setDark(s.vms[4], false)
		s.propose(15 * time.Second)
		if len(s.acked) == 0 || len(s.errs) > 0 {
			t.Errorf("seed %d: %d entries acknowledged, violations %v\n%s", seed, len(s.acked), s.errs, s.describe())
		}
	}
}

// Guards against a replacement that announces itself but never catches up, and
// keeps another VM from replacing the lost voter.
func TestStalledReplacementDoesNotBlockRepair(t *testing.T) {
	for seed := range lossRuns() {
		s := newCellSim(seed, 1, 5)
		s.propose(5 * time.Second)
		lost := s.vms[slices.IndexFunc(s.vms, func(vm *simVM) bool { return !s.isSpare(vm) && vm != s.leader() })]
		stalled := s.vms[slices.IndexFunc(s.vms, s.isSpare)]
		stalled.delay = time.Minute
		s.crash(lost)
		s.propose(catchUpTime + voterTimeout)
		if !s.isSpare(lost) || s.voters() != 3 {
			t.Errorf("seed %d: %s is not replaced\n%s", seed, lost.id, s.describe())
		}
	}
}

// disturb lets some VMs lose their disks, makes others dark or slow or lets all
// lose power, while commands are proposed.
func (s *cellSim) disturb() {
	for _, vm := range s.vms {
		vm.delay = 0
		s.setDark(vm, false)
	}
	slow := s.vms[s.rnd.IntN(len(s.vms))]
	slow.delay = s.upTo(150 * time.Millisecond)
	switch s.rnd.IntN(3) {
	case 0:
		s.powerLoss()
	default:
		s.wipeSome()
	}
	s.propose(s.upTo(10 * time.Second))
}

// powerLoss lets every VM lose power. They are back within a second.
func (s *cellSim) powerLoss() {
	for _, vm := range s.vms {
		if vm.up {
			s.restartLater(vm)
		}
	}
}

// restartLater stops a VM and starts it within a second.
func (s *cellSim) restartLater(vm *simVM) {
	s.crash(vm)
	incarnation := vm.incarnation
	s.after(100*time.Millisecond+s.upTo(time.Second), func() {
		if vm.incarnation == incarnation {
			s.start(vm, false)
		}
	})
}

// wipeSome lets as many VMs lose their disks as allowed. Some of them, and some
// spare VMs, stay dark.
func (s *cellSim) wipeSome() {
	for _, pos := range s.rnd.Perm(len(s.vms)) {
		vm := s.vms[pos]
		switch {
		case s.lost() < s.losses:
			s.wipe(vm)
			s.restartLater(vm)
			s.setDark(vm, s.rnd.IntN(3) == 0)
			s.propose(s.upTo(500 * time.Millisecond))
		case s.isSpare(vm):
			s.setDark(vm, s.rnd.IntN(2) == 0)
		}
	}
}

// voters returns the number of voters that have the disk with which they may vote,
// according to the leader, or 0 without one.
func (s *cellSim) voters() int {
	ldr := s.leader()
	if ldr == nil {
		return 0
	}
	count := 0
	for _, mem := range ldr.node.Members().List() {
		if mem.Voter() && mem.Disk() == s.find(mem.VM()).disk.id {
			count++
		}
	}
	return count
}

// fullestCentre returns the highest number of voters in one data centre according to
// the leader, or 0 without one.
func (s *cellSim) fullestCentre() int {
	ldr := s.leader()
	if ldr == nil {
		return 0
	}
	highest, load := 0, map[model.CentreID]int{}
	for _, vm := range s.vms {
		if mem, ok := ldr.node.Members().Find(vm.id); ok && mem.Voter() {
			load[vm.centre]++
			highest = max(highest, load[vm.centre])
		}
	}
	return highest
}

// isSpare reports whether vm is no voter.
func (s *cellSim) isSpare(vm *simVM) bool {
	ldr := s.leader()
	if ldr == nil {
		return false
	}
	mem, ok := ldr.node.Members().Find(vm.id)
	return !ok || !mem.Voter()
}

// disturbDisks lets the disks of some VMs become slow, hang or refuse writes, a data
// centre go dark, or some VMs lose their disks, and then does what disturb does. A VM
// whose disk refuses writes counts as one of those that lost it until it is back.
func (s *cellSim) disturbDisks() {
	for _, pos := range s.rnd.Perm(len(s.vms)) {
		vm := s.vms[pos]
		vm.syncTime = 6 * time.Millisecond
		switch s.rnd.IntN(6) {
		case 0:
			vm.syncTime = s.upTo(300 * time.Millisecond)
		case 1:
			vm.hangsUntil = s.now + s.upTo(4*time.Second)
		case 2:
			s.refuseWrites(vm, s.upTo(5*time.Second))
		}
	}
	if dark := s.vms[s.rnd.IntN(len(s.vms))].centre; s.rnd.IntN(3) == 0 {
		for _, vm := range s.vms {
			s.setDark(vm, vm.centre == dark)
		}
		s.propose(s.upTo(5 * time.Second))
	}
	s.disturb()
}

// refuseWrites lets a disk refuse writes for the given time. If its replica has failed,
// the VM starts it again afterwards.
func (s *cellSim) refuseWrites(vm *simVM, d time.Duration) {
	vm.failed = true
	s.after(d, func() {
		vm.failed = false
		if vm.up && vm.node.Role(s.instant()).Failed() {
			s.restartLater(vm)
		}
	})
}

// awaitChange makes a voter dark and runs until a membership change is applied, and for
// some milliseconds more. Then it lets the VM return.
func (s *cellSim) awaitChange() {
	ldr := s.leader()
	if ldr == nil {
		return
	}
	lost := s.vms[s.rnd.IntN(len(s.vms))]
	s.setDark(lost, lost != ldr)
	for before, end := s.changes, s.now+6*time.Second; s.changes == before && s.now < end; {
		s.propose(20 * time.Millisecond)
	}
	s.propose(s.upTo(20 * time.Millisecond))
	lost.dark = false
}

// calm ends all faults but the loss of disks.
func (s *cellSim) calm() {
	for _, vm := range s.vms {
		vm.delay, vm.syncTime, vm.failed = 0, 6*time.Millisecond, false
		s.setDark(vm, false)
		if vm.up && vm.node.Role(s.instant()).Failed() {
			s.restartLater(vm)
		}
	}
}

// finalLoss lets as many VMs lose their disks as allowed, right after an
// acknowledgement. In half of the cases all others lose power at the same moment. It
// then checks that a leader is elected and has every acknowledged entry.
func (s *cellSim) finalLoss() {
	for count := len(s.acked); len(s.acked) == count && s.awaitLeader(20*time.Second) != nil; {
		s.propose(20 * time.Millisecond)
	}
	for _, pos := range s.rnd.Perm(len(s.vms)) {
		if vm := s.vms[pos]; s.lost() < s.losses {
			s.wipe(vm)
		}
	}
	s.calm()
	power := s.rnd.IntN(2) == 0
	for _, vm := range s.vms {
		if power || !vm.up {
			s.restartLater(vm)
		}
	}
	s.run(2 * time.Second)
	ldr := s.awaitLeader(30 * time.Second)
	if ldr == nil {
		s.fail("no leader 30 s after the final loss")
		return
	}
	for idx, term := range s.acked {
		if idx > uint64(len(ldr.applied)) || ldr.applied[idx-1].Term() != term {
			s.fail("acknowledged entry %d is not in the state of the leader %s", idx, ldr.id)
			return
		}
	}
	before := len(s.acked)
	s.propose(s.settleTime)
	if len(s.acked) == before {
		s.fail("no command is acknowledged after the final loss")
	}
	if got := s.voters(); got != 2*s.losses+1 {
		s.fail("%d voters after the final loss, want %d", got, 2*s.losses+1)
	}
	if got := s.fullestCentre(); s.minCopies > 0 && got > s.losses {
		s.fail("%d of %d voters are in one data centre after the final loss", got, 2*s.losses+1)
	}
}
