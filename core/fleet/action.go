package fleet

import "guavarail/core/model"

// Bootstrap adds the initial VMs. The first leader of an empty fleet group
// proposes it with number 1; VMs with a disk become voters, the others learners.
type Bootstrap struct{ vms []VM }

// NewBootstrap returns the action.
func NewBootstrap(vms []VM) Bootstrap { return Bootstrap{vms: append([]VM(nil), vms...)} }

// VMs returns a copy of the VMs.
func (act Bootstrap) VMs() []VM { return append([]VM(nil), act.vms...) }

// Kind returns KindBootstrap.
func (Bootstrap) Kind() Kind { return KindBootstrap }

// Target returns "", since the command applies to all VMs.
func (Bootstrap) Target() string { return "" }

func (act Bootstrap) apply(st *State, changedBy Change) Reason {
	if st.lastChange.number > 0 {
		return AlreadyFounded
	}
	if len(act.vms) > maxVMs {
		return TooMany
	}
	seen := map[model.VMID]bool{}
	for _, vm := range act.vms {
		if !vm.valid() || seen[vm.Name()] {
			return Invalid
		}
		seen[vm.Name()] = true
	}
	for _, vm := range act.vms {
		vm.spec.Role = Learner
		if vm.spec.Disk {
			vm.spec.Role = Voter
		}
		st.putVM(vm, changedBy)
	}
	return Accepted
}

// CreatePreset adds a preset.
type CreatePreset struct {
	preset model.Preset
	// replace allows an inactive preset of the same name to be overwritten, except
	// for the built-in one.
	replace bool
}

// NewCreatePreset returns the action.
func NewCreatePreset(pre model.Preset, replace bool) CreatePreset {
	return CreatePreset{preset: pre, replace: replace}
}

// Preset returns the preset.
func (act CreatePreset) Preset() model.Preset { return act.preset }

// Replace reports whether an inactive preset of that name may be overwritten.
func (act CreatePreset) Replace() bool { return act.replace }

// Kind returns KindCreatePreset.
func (CreatePreset) Kind() Kind { return KindCreatePreset }

// Target returns the name of the preset.
func (act CreatePreset) Target() string { return act.preset.Name() }

func (act CreatePreset) apply(st *State, changedBy Change) Reason {
	name := act.preset.Name()
	_, exists := st.Preset(name)
	switch {
	case name == "":
		return Invalid
	case name == DefaultPreset, exists && !act.replace:
		return PresetExists
	case exists && name == st.ActivePresetName():
		return PresetActive
	case !exists && len(st.presets) >= maxPresets, act.tooLarge():
		return TooMany
	}
	st.presets[name] = PresetEntry{preset: act.preset, changedBy: changedBy}
	return Accepted
}

func (act CreatePreset) tooLarge() bool {
	spec := act.preset.Spec()
	return len(spec.Services) > maxPresetItems || len(spec.Quotas) > maxPresetItems
}

// SwitchPreset makes a preset the active one.
type SwitchPreset struct{ name string }

// NewSwitchPreset returns the action.
func NewSwitchPreset(name string) SwitchPreset { return SwitchPreset{name: name} }

// Kind returns KindSwitchPreset.
func (SwitchPreset) Kind() Kind { return KindSwitchPreset }

// Target returns the name of the preset.
func (act SwitchPreset) Target() string { return act.name }

func (act SwitchPreset) apply(st *State, changedBy Change) Reason {
	if _, ok := st.Preset(act.name); !ok {
		return UnknownPreset
	}
	st.activeChange = changedBy
	return Accepted
}

// CentreOut takes a data centre out of service. If it is out of service already,
// the command is accepted and the recorded change of the data centre stays.
type CentreOut struct {
	centre model.CentreID
	// force allows the last data centre in service to be taken out.
	force bool
}

// NewCentreOut returns the action.
func NewCentreOut(centre model.CentreID, force bool) CentreOut {
	return CentreOut{centre: centre, force: force}
}

// Force reports whether the last data centre in service may be taken out.
func (act CentreOut) Force() bool { return act.force }

// Kind returns KindCentreOut.
func (CentreOut) Kind() Kind { return KindCentreOut }

// Target returns the name of the data centre.
func (act CentreOut) Target() string { return string(act.centre) }

func (act CentreOut) apply(st *State, changedBy Change) Reason {
	ce, ok := st.centres[act.centre]
	if !ok {
		return UnknownCentre
	}
	if ce.out {
		return Accepted
	}
	others := 0
	for name, other := range st.centres {
		if name != act.centre && !other.out {
			others++
		}
	}
	if others == 0 && !act.force {
		return LastCentre
	}
	st.centres[act.centre] = Centre{name: act.centre, out: true, changedBy: changedBy}
	return Accepted
}

// CentreIn returns a data centre to service.
type CentreIn struct{ centre model.CentreID }

// NewCentreIn returns the action.
func NewCentreIn(centre model.CentreID) CentreIn { return CentreIn{centre: centre} }

// Kind returns KindCentreIn.
func (CentreIn) Kind() Kind { return KindCentreIn }

// Target returns the name of the data centre.
func (act CentreIn) Target() string { return string(act.centre) }

func (act CentreIn) apply(st *State, changedBy Change) Reason {
	ce, ok := st.centres[act.centre]
	if !ok {
		return UnknownCentre
	}
	// If the data centre is in service already, its recorded change stays. A newer
	// one would restart its return to service, which admits load in steps.
	if ce.out {
		st.centres[act.centre] = Centre{name: act.centre, changedBy: changedBy}
		st.dropEmptyCentre(act.centre)
	}
	return Accepted
}
