package fleet_test

import (
	"slices"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// oracle is a simple model of the fleet state that predicts the answer to each
// command. Unlike the state, it stores all commands and answers.
type oracle struct {
	// maxAnswers is the number of answers that the tested state stores.
	maxAnswers int
	// number is the configuration number.
	number uint64
	// active is the name of the active preset.
	active  string
	presets map[string]bool
	// out has the data centres that are out of service.
	out map[string]bool
	vms map[string]fleet.VMSpec
	// commands and results have the latest command that was executed with each
	// identifier and its answer; ids has the identifiers in execution order.
	commands map[model.CommandID]fleet.Command
	results  map[model.CommandID]fleet.Result
	ids      []model.CommandID
	// holders has the identifier of the command that took each number.
	holders map[uint64]model.CommandID
	// origins has the identifier of the command that last set each part of the
	// state, by part: "last" (any change), "active", and "preset", "centre" or "vm"
	// with a name.
	origins map[string]model.CommandID
}

func newOracle(maxAnswers int) *oracle {
	return &oracle{
		maxAnswers: maxAnswers, active: fleet.DefaultPreset, presets: map[string]bool{fleet.DefaultPreset: true},
		out: map[string]bool{}, vms: map[string]fleet.VMSpec{}, commands: map[model.CommandID]fleet.Command{},
		results: map[model.CommandID]fleet.Result{}, holders: map[uint64]model.CommandID{}, origins: map[string]model.CommandID{},
	}
}

// answerStored reports whether the tested state must still have the earlier answer to a
// command with this identifier: among its stored answers, or as the change that last set
// a part of the state.
func (or *oracle) answerStored(id model.CommandID) bool {
	if slices.Contains(or.ids[max(0, len(or.ids)-or.maxAnswers):], id) {
		return true
	}
	for _, origin := range or.origins {
		if origin == id {
			return true
		}
	}
	return false
}

// holderStored reports whether the tested state must still name the command as the
// holder of its number. If the command was resent after its answer was dropped, the
// state has only the rejection of the resent command.
func (or *oracle) holderStored(id model.CommandID) bool {
	res, ok := or.results[id]
	return ok && res.Rejection() == nil && or.answerStored(id)
}

// predict returns the reason that the answer to cmd must have, Accepted if cmd must be
// accepted, and whether the state must repeat the answer that cmd got before, in which
// case the reason has no meaning.
func (or *oracle) predict(cmd fleet.Command) (fleet.Reason, bool) {
	if or.answerStored(cmd.ID()) {
		first := or.commands[cmd.ID()]
		if first.Number() == cmd.Number() && first.Operator() == cmd.Operator() && first.Kind() == cmd.Kind() && first.Target() == cmd.Target() {
			return fleet.Accepted, true
		}
		return fleet.IdentityReused, false
	}
	switch {
	case cmd.Number() > or.number+1:
		return fleet.NumberAhead, false
	case cmd.Number() <= or.number && or.holderStored(or.holders[cmd.Number()]):
		return fleet.NumberTaken, false
	case cmd.Number() <= or.number:
		return fleet.AnswerExpired, false
	}
	return or.checkAction(cmd.Action()), false
}

// checkAction returns the reason that a command with the next number and this
// content must get.
func (or *oracle) checkAction(act fleet.Action) fleet.Reason {
	name := act.Target()
	vm, exists := or.vms[name]
	lastVoter := exists && vm.Role == fleet.Voter && or.voters() == 1
	switch act := act.(type) {
	case fleet.Bootstrap:
		return rejectIf(or.number > 0, fleet.AlreadyFounded)
	case fleet.CreatePreset:
		if name == fleet.DefaultPreset || or.presets[name] && !act.Replace() {
			return fleet.PresetExists
		}
		return rejectIf(name == or.active, fleet.PresetActive)
	case fleet.SwitchPreset:
		return rejectIf(!or.presets[name], fleet.UnknownPreset)
	case fleet.CentreOut:
		if !or.hasCentre(name) {
			return fleet.UnknownCentre
		}
		return rejectIf(!or.out[name] && !act.Force() && or.inService() == 1, fleet.LastCentre)
	case fleet.CentreIn:
		return rejectIf(!or.hasCentre(name), fleet.UnknownCentre)
	case fleet.AddLearner:
		return rejectIf(exists, fleet.VMExists)
	case fleet.Promote:
		switch {
		case exists && vm.Role == fleet.Voter:
			return fleet.NotLearner
		case exists && !vm.Disk:
			return fleet.NoDisk
		case exists && vm.DiskID != "" && vm.DiskID != act.DiskID():
			return fleet.DiskChanged
		}
	case fleet.ReplaceVM:
		_, clash := or.vms[string(act.VM().Name())]
		if exists && !lastVoter && clash && string(act.VM().Name()) != name {
			return fleet.VMExists
		}
	}
	if !exists {
		return fleet.UnknownVM
	}
	return rejectIf(lastVoter && act.Kind() != fleet.KindPromote, fleet.LastVoter)
}

// rejectIf returns rea if reject is true, else Accepted.
func rejectIf(reject bool, rea fleet.Reason) fleet.Reason {
	if reject {
		return rea
	}
	return fleet.Accepted
}

func (or *oracle) voters() int {
	count := 0
	for _, vm := range or.vms {
		if vm.Role == fleet.Voter {
			count++
		}
	}
	return count
}

// hasCentre reports whether the state must have an entry for the data centre.
func (or *oracle) hasCentre(centre string) bool {
	for _, vm := range or.vms {
		if string(vm.Centre) == centre {
			return true
		}
	}
	return or.out[centre]
}

// inService returns the number of data centres in service.
func (or *oracle) inService() int {
	seen := map[string]bool{}
	for _, vm := range or.vms {
		if !or.out[string(vm.Centre)] {
			seen[string(vm.Centre)] = true
		}
	}
	return len(seen)
}

// record stores the answer to a command and, if it was accepted, applies the command
// to the model.
func (or *oracle) record(cmd fleet.Command, res fleet.Result) {
	id := cmd.ID()
	or.commands[id], or.results[id] = cmd, res
	or.ids = append(or.ids, id)
	if res.Rejection() != nil {
		return
	}
	or.number = cmd.Number()
	or.holders[or.number] = id
	or.origins["last"] = id
	name := cmd.Target()
	switch act := cmd.Action().(type) {
	case fleet.Bootstrap:
		for _, vm := range act.VMs() {
			or.putVM(vm.Spec(), vm.Spec().Disk, id)
		}
	case fleet.CreatePreset:
		or.presets[name], or.origins["preset "+name] = true, id
	case fleet.SwitchPreset:
		or.active, or.origins["active"] = name, id
	case fleet.CentreOut:
		or.setService(name, true, id)
	case fleet.CentreIn:
		or.setService(name, false, id)
	case fleet.AddLearner:
		or.putVM(act.VM().Spec(), false, id)
	case fleet.Promote:
		vm := or.vms[name]
		vm.DiskID = act.DiskID()
		or.putVM(vm, true, id)
	case fleet.RemoveVM:
		or.dropVM(name)
	case fleet.ReplaceVM:
		// The new VM is added first, so that a data centre whose only VM is
		// replaced does not lose its entry.
		or.putVM(act.VM().Spec(), false, id)
		if string(act.VM().Name()) != name {
			or.dropVM(name)
		}
	}
}

func (or *oracle) setService(centre string, out bool, id model.CommandID) {
	if or.out[centre] != out {
		or.out[centre], or.origins["centre "+centre] = out, id
	}
	or.dropCentreOrigins()
}

func (or *oracle) putVM(vm fleet.VMSpec, voter bool, id model.CommandID) {
	vm.Role = fleet.Learner
	if voter {
		vm.Role = fleet.Voter
	}
	centre := string(vm.Centre)
	if !or.hasCentre(centre) {
		or.origins["centre "+centre] = id
	}
	or.vms[string(vm.Name)], or.origins["vm "+string(vm.Name)] = vm, id
	or.dropCentreOrigins()
}

func (or *oracle) dropVM(name string) {
	delete(or.vms, name)
	delete(or.origins, "vm "+name)
	or.dropCentreOrigins()
}

// dropCentreOrigins drops the origin of data centres that no longer have an entry.
func (or *oracle) dropCentreOrigins() {
	for _, centre := range centres {
		if !or.hasCentre(centre) {
			delete(or.origins, "centre "+centre)
		}
	}
}
