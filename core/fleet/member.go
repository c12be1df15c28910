package fleet

import "guavarail/core/model"

// AddLearner adds a VM that does not vote.
type AddLearner struct{ vm VM }

// NewAddLearner returns the action.
func NewAddLearner(vm VM) AddLearner { return AddLearner{vm: vm} }

// VM returns the VM.
func (act AddLearner) VM() VM { return act.vm }

// Kind names the action.
func (AddLearner) Kind() Kind { return KindAddLearner }

// Target returns the name of the VM.
func (act AddLearner) Target() string { return string(act.vm.Name()) }

func (act AddLearner) apply(st *State, by Change) Reason {
	if !act.vm.valid() {
		return Invalid
	}
	if _, ok := st.vms[act.vm.Name()]; ok {
		return VMExists
	}
	if len(st.vms) >= maxVMs || st.centreFull(act.vm.Centre()) {
		return TooMany
	}
	st.addLearner(act.vm, by)
	return Accepted
}

// Promote lets a learner vote. It is proposed once the learner has the whole
// log on its disk.
type Promote struct {
	vm     model.VMID
	diskID string
}

// NewPromote returns the action. diskID is the disk identity that the learner
// reported.
func NewPromote(vm model.VMID, diskID string) Promote { return Promote{vm: vm, diskID: diskID} }

// DiskID returns the disk identity that the learner reported.
func (act Promote) DiskID() string { return act.diskID }

// Kind names the action.
func (Promote) Kind() Kind { return KindPromote }

// Target returns the name of the VM.
func (act Promote) Target() string { return string(act.vm) }

func (act Promote) apply(st *State, by Change) Reason {
	vm, ok := st.vms[act.vm]
	switch {
	case !ok:
		return UnknownVM
	case vm.spec.Role != Learner:
		return NotLearner
	case !vm.spec.Disk:
		return NoDisk
	case act.diskID == "" || len(act.diskID) > maxIDLength:
		return Invalid
	case vm.spec.DiskID != "" && vm.spec.DiskID != act.diskID:
		return DiskChanged
	}
	vm.spec.Role = Voter
	vm.spec.DiskID = act.diskID
	st.putVM(vm, by)
	return Accepted
}

// RemoveVM removes a VM.
type RemoveVM struct{ vm model.VMID }

// NewRemoveVM returns the action.
func NewRemoveVM(vm model.VMID) RemoveVM { return RemoveVM{vm: vm} }

// Kind names the action.
func (RemoveVM) Kind() Kind { return KindRemoveVM }

// Target returns the name of the VM.
func (act RemoveVM) Target() string { return string(act.vm) }

func (act RemoveVM) apply(st *State, _ Change) Reason {
	if rea := st.removable(act.vm); rea != Accepted {
		return rea
	}
	st.dropVM(act.vm)
	return Accepted
}

// ReplaceVM removes a VM and adds another one, or the same one with another
// disk, as a learner.
type ReplaceVM struct {
	old model.VMID
	vm  VM
}

// NewReplaceVM returns the action.
func NewReplaceVM(old model.VMID, vm VM) ReplaceVM { return ReplaceVM{old: old, vm: vm} }

// VM returns the VM that is added.
func (act ReplaceVM) VM() VM { return act.vm }

// Kind names the action.
func (ReplaceVM) Kind() Kind { return KindReplaceVM }

// Target returns the name of the VM that is replaced.
func (act ReplaceVM) Target() string { return string(act.old) }

func (act ReplaceVM) apply(st *State, by Change) Reason {
	if !act.vm.valid() {
		return Invalid
	}
	if rea := st.removable(act.old); rea != Accepted {
		return rea
	}
	if _, ok := st.vms[act.vm.Name()]; ok && act.vm.Name() != act.old {
		return VMExists
	}
	if st.centreFull(act.vm.Centre()) {
		return TooMany
	}
	// Added first, so that a data centre with this one VM stays known.
	st.addLearner(act.vm, by)
	if act.old != act.vm.Name() {
		st.dropVM(act.old)
	}
	return Accepted
}

func (st *State) addLearner(vm VM, by Change) {
	vm.spec.Role = Learner
	st.putVM(vm, by)
}

// putVM records a VM and makes its data centre known.
func (st *State) putVM(vm VM, by Change) {
	old := st.vms[vm.Name()]
	vm.by = by
	st.vms[vm.Name()] = vm
	if _, ok := st.centres[vm.Centre()]; !ok {
		st.centres[vm.Centre()] = Centre{name: vm.Centre(), by: by}
	}
	if old.Centre() != vm.Centre() {
		st.dropEmptyCentre(old.Centre())
	}
}

func (st *State) dropVM(name model.VMID) {
	vm := st.vms[name]
	delete(st.vms, name)
	st.dropEmptyCentre(vm.Centre())
}

// dropEmptyCentre forgets a data centre without VMs. One that is out of
// service stays, so that it does not return by a new VM.
func (st *State) dropEmptyCentre(centre model.CentreID) {
	if st.centres[centre].out {
		return
	}
	for _, vm := range st.vms {
		if vm.Centre() == centre {
			return
		}
	}
	delete(st.centres, centre)
}

func (st *State) centreFull(centre model.CentreID) bool {
	_, ok := st.centres[centre]
	return !ok && len(st.centres) >= maxCentres
}

// removable returns why a VM cannot be removed, or Accepted.
func (st *State) removable(name model.VMID) Reason {
	vm, ok := st.vms[name]
	if !ok {
		return UnknownVM
	}
	if vm.Role() == Voter && len(st.voters()) == 1 {
		return LastVoter
	}
	return Accepted
}
