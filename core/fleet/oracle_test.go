package fleet_test

import (
	"slices"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// oracle says what the fleet state must answer. It keeps everything for ever
// and searches it from the start.
type oracle struct {
	room    int
	number  uint64
	active  string
	presets map[string]bool
	out     map[string]bool
	vms     map[string]fleet.VMSpec
	// first has the first command and answer of each identity, order the
	// identities, winner the identity that holds each number.
	first  map[model.CommandID]fleet.Command
	answer map[model.CommandID]fleet.Result
	order  []model.CommandID
	winner map[uint64]model.CommandID
	// inEffect has the identity that each part of the state comes from.
	inEffect map[string]model.CommandID
}

func newOracle(room int) *oracle {
	return &oracle{
		room: room, active: fleet.DefaultPreset, presets: map[string]bool{fleet.DefaultPreset: true},
		out: map[string]bool{}, vms: map[string]fleet.VMSpec{}, first: map[model.CommandID]fleet.Command{},
		answer: map[model.CommandID]fleet.Result{}, winner: map[uint64]model.CommandID{}, inEffect: map[string]model.CommandID{},
	}
}

// kept reports whether the answer to an identity must still be known.
func (or *oracle) kept(id model.CommandID) bool {
	if slices.Contains(or.order[max(0, len(or.order)-or.room):], id) {
		return true
	}
	for _, held := range or.inEffect {
		if held == id {
			return true
		}
	}
	return false
}

// holds reports whether it must still be known that the identity holds its
// number. A winner that was forgotten and sent again is known as rejected.
func (or *oracle) holds(id model.CommandID) bool {
	res, ok := or.answer[id]
	return ok && res.Rejection() == nil && or.kept(id)
}

// want returns the reason that the next answer to cmd must have and whether it
// must be the first answer again.
func (or *oracle) want(cmd fleet.Command) (fleet.Reason, bool) {
	if or.kept(cmd.ID()) {
		one := or.first[cmd.ID()]
		if one.Number() == cmd.Number() && one.Operator() == cmd.Operator() && one.Kind() == cmd.Kind() && one.Target() == cmd.Target() {
			return fleet.Accepted, true
		}
		return fleet.IdentityReused, false
	}
	switch {
	case cmd.Number() > or.number+1:
		return fleet.NumberAhead, false
	case cmd.Number() <= or.number && or.holds(or.winner[cmd.Number()]):
		return fleet.NumberTaken, false
	case cmd.Number() <= or.number:
		return fleet.AnswerExpired, false
	}
	return or.allowed(cmd.Action()), false
}

// allowed returns why the content of a command is refused.
func (or *oracle) allowed(act fleet.Action) fleet.Reason {
	name := act.Target()
	vm, known := or.vms[name]
	lastVoter := known && vm.Role == fleet.Voter && or.voters() == 1
	switch act := act.(type) {
	case fleet.Bootstrap:
		return check(or.number > 0, fleet.AlreadyFounded)
	case fleet.CreatePreset:
		if name == fleet.DefaultPreset || or.presets[name] && !act.Replace() {
			return fleet.PresetExists
		}
		return check(name == or.active, fleet.PresetActive)
	case fleet.SwitchPreset:
		return check(!or.presets[name], fleet.UnknownPreset)
	case fleet.CentreOut:
		if !or.knows(name) {
			return fleet.UnknownCentre
		}
		return check(!or.out[name] && !act.Force() && or.inService() == 1, fleet.LastCentre)
	case fleet.CentreIn:
		return check(!or.knows(name), fleet.UnknownCentre)
	case fleet.AddLearner:
		return check(known, fleet.VMExists)
	case fleet.Promote:
		switch {
		case known && vm.Role == fleet.Voter:
			return fleet.NotLearner
		case known && !vm.Disk:
			return fleet.NoDisk
		case known && vm.DiskID != "" && vm.DiskID != act.DiskID():
			return fleet.DiskChanged
		}
	case fleet.ReplaceVM:
		_, clash := or.vms[string(act.VM().Name())]
		if known && !lastVoter && clash && string(act.VM().Name()) != name {
			return fleet.VMExists
		}
	}
	if !known {
		return fleet.UnknownVM
	}
	return check(lastVoter && act.Kind() != fleet.KindPromote, fleet.LastVoter)
}

func check(bad bool, rea fleet.Reason) fleet.Reason {
	if bad {
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

func (or *oracle) knows(centre string) bool {
	for _, vm := range or.vms {
		if string(vm.Centre) == centre {
			return true
		}
	}
	return or.out[centre]
}

func (or *oracle) inService() int {
	seen := map[string]bool{}
	for _, vm := range or.vms {
		if !or.out[string(vm.Centre)] {
			seen[string(vm.Centre)] = true
		}
	}
	return len(seen)
}

// record keeps the answer to a command and what it changed.
func (or *oracle) record(cmd fleet.Command, res fleet.Result) {
	id := cmd.ID()
	or.first[id], or.answer[id] = cmd, res
	or.order = append(or.order, id)
	if res.Rejection() != nil {
		return
	}
	or.number = cmd.Number()
	or.winner[or.number] = id
	or.inEffect["last"] = id
	name := cmd.Target()
	switch act := cmd.Action().(type) {
	case fleet.Bootstrap:
		for _, vm := range act.VMs() {
			or.put(vm.Spec(), vm.Spec().Disk, id)
		}
	case fleet.CreatePreset:
		or.presets[name], or.inEffect["preset "+name] = true, id
	case fleet.SwitchPreset:
		or.active, or.inEffect["active"] = name, id
	case fleet.CentreOut:
		or.service(name, true, id)
	case fleet.CentreIn:
		or.service(name, false, id)
	case fleet.AddLearner:
		or.put(act.VM().Spec(), false, id)
	case fleet.Promote:
		vm := or.vms[name]
		vm.DiskID = act.DiskID()
		or.put(vm, true, id)
	case fleet.RemoveVM:
		or.drop(name)
	case fleet.ReplaceVM:
		// A data centre with this one VM stays known.
		or.put(act.VM().Spec(), false, id)
		if string(act.VM().Name()) != name {
			or.drop(name)
		}
	}
}

func (or *oracle) service(centre string, out bool, id model.CommandID) {
	if or.out[centre] != out {
		or.out[centre], or.inEffect["centre "+centre] = out, id
	}
	or.forget()
}

func (or *oracle) put(vm fleet.VMSpec, voter bool, id model.CommandID) {
	vm.Role = fleet.Learner
	if voter {
		vm.Role = fleet.Voter
	}
	centre := string(vm.Centre)
	if !or.knows(centre) {
		or.inEffect["centre "+centre] = id
	}
	or.vms[string(vm.Name)], or.inEffect["vm "+string(vm.Name)] = vm, id
	or.forget()
}

func (or *oracle) drop(name string) {
	delete(or.vms, name)
	delete(or.inEffect, "vm "+name)
	or.forget()
}

// forget drops the origin of data centres that are not known any more.
func (or *oracle) forget() {
	for _, centre := range centres {
		if !or.knows(centre) {
			delete(or.inEffect, "centre "+centre)
		}
	}
}
