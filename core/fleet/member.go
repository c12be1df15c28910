package fleet

import "guavarail/core/model"

// AddLearner adds a VM as a learner.
type AddLearner struct{ vm VM }

// NewAddLearner returns the action.
func NewAddLearner(vm VM) AddLearner { return AddLearner{vm: vm} }

// VM returns the VM.
func (act AddLearner) VM() VM { return act.vm }

// Kind returns KindAddLearner.
func (AddLearner) Kind() Kind { return KindAddLearner }

// Target returns the name of the VM.
func (act AddLearner) Target() string { return string(act.vm.Name()) }

func (act AddLearner) apply(st *State, changedBy Change) Reason {
	if !act.vm.valid() {
		return Invalid
	}
	if _, ok := st.vms[act.vm.Name()]; ok {
		return VMExists
	}
	if len(st.vms) >= maxVMs || st.centreLimitReached(act.vm.Centre()) {
		return TooMany
	}
	st.addLearner(act.vm, changedBy)
	return Accepted
}

// Promote makes a learner a voter. It is proposed once the learner has the whole
// log on its disk.
type Promote struct {
	vm     model.VMID
	diskID string
}

// NewPromote returns the action. diskID is the disk identifier that the learner
// reported.
func NewPromote(vm model.VMID, diskID string) Promote { return Promote{vm: vm, diskID: diskID} }

// DiskID returns the disk identifier that the learner reported.
func (act Promote) DiskID() string { return act.diskID }

// Kind returns KindPromote.
func (Promote) Kind() Kind { return KindPromote }

// Target returns the name of the VM.
func (act Promote) Target() string { return string(act.vm) }

func (act Promote) apply(st *State, changedBy Change) Reason {
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
	st.putVM(vm, changedBy)
	return Accepted
}

// RemoveVM removes a VM, unless it is the only voter.
type RemoveVM struct{ vm model.VMID }

// NewRemoveVM returns the action.
func NewRemoveVM(vm model.VMID) RemoveVM { return RemoveVM{vm: vm} }

// Kind returns KindRemoveVM.
func (RemoveVM) Kind() Kind { return KindRemoveVM }

// Target returns the name of the VM.
func (act RemoveVM) Target() string { return string(act.vm) }

func (act RemoveVM) apply(st *State, _ Change) Reason {
	if rea := st.checkRemovable(act.vm); rea != Accepted {
		return rea
	}
	st.dropVM(act.vm)
	return Accepted
}

// ReplaceVM removes a VM, unless it is the only voter, and adds another one as a
// learner. Both may have the same name, for a VM with a new disk.
type ReplaceVM struct {
	replaced model.VMID
	vm       VM
}

// NewReplaceVM returns the action; vm takes the place of the VM named replaced.
func NewReplaceVM(replaced model.VMID, vm VM) ReplaceVM { return ReplaceVM{replaced: replaced, vm: vm} }

// VM returns the VM that is added.
func (act ReplaceVM) VM() VM { return act.vm }

// Kind returns KindReplaceVM.
func (ReplaceVM) Kind() Kind { return KindReplaceVM }

// Target returns the name of the VM that is replaced.
func (act ReplaceVM) Target() string { return string(act.replaced) }

func (act ReplaceVM) apply(st *State, changedBy Change) Reason {
	if !act.vm.valid() {
		return Invalid
	}
	if rea := st.checkRemovable(act.replaced); rea != Accepted {
		return rea
	}
	if _, ok := st.vms[act.vm.Name()]; ok && act.vm.Name() != act.replaced {
		return VMExists
	}
	if st.centreLimitReached(act.vm.Centre()) {
		return TooMany
	}
	// The new VM is added first, so that a data centre whose only VM is replaced
	// does not lose its entry and service state.
	st.addLearner(act.vm, changedBy)
	if act.replaced != act.vm.Name() {
		st.dropVM(act.replaced)
	}
	return Accepted
}

func (st *State) addLearner(vm VM, changedBy Change) {
	vm.spec.Role = Learner
	st.putVM(vm, changedBy)
}

// putVM adds or overwrites a VM and adds the entry of its data centre if there
// is none.
func (st *State) putVM(vm VM, changedBy Change) {
	prev := st.vms[vm.Name()]
	vm.changedBy = changedBy
	st.vms[vm.Name()] = vm
	if _, ok := st.centres[vm.Centre()]; !ok {
		st.centres[vm.Centre()] = Centre{name: vm.Centre(), changedBy: changedBy}
	}
	if prev.Centre() != vm.Centre() {
		st.dropEmptyCentre(prev.Centre())
	}
}

func (st *State) dropVM(name model.VMID) {
	vm := st.vms[name]
	delete(st.vms, name)
	st.dropEmptyCentre(vm.Centre())
}

// dropEmptyCentre removes the entry of a data centre without VMs. If it is out
// of service the entry stays, since adding a VM later would otherwise return the
// data centre to service.
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

// centreLimitReached reports whether a VM in the given data centre would need an
// entry beyond maxCentres.
func (st *State) centreLimitReached(centre model.CentreID) bool {
	_, ok := st.centres[centre]
	return !ok && len(st.centres) >= maxCentres
}

// checkRemovable returns Accepted if the VM can be removed, or the reason why it
// cannot.
func (st *State) checkRemovable(name model.VMID) Reason {
	vm, ok := st.vms[name]
	if !ok {
		return UnknownVM
	}
	if vm.Role() == Voter && len(st.vmsWithVoterRole()) == 1 {
		return LastVoter
	}
	return Accepted
}
