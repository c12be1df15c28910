package fleet

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// DefaultPreset names the built-in preset, which is active until the first
// switch.
const DefaultPreset = "default"

// Limits on the size of the state.
const (
	// maxPresets does not count the built-in preset.
	maxPresets = 256
	// maxPresetItems limits the services and the quotas of one preset: twice
	// the 450 teams that the system is planned for, rounded up.
	maxPresetItems = 1000
	maxVMs         = 1000
	maxCentres     = 256
	// defaultMaxAnswers is the number of answers that the state stores, so that a
	// command that is resent gets its first answer. The oldest answers are dropped.
	defaultMaxAnswers = 4096
)

// PresetEntry is a preset and the change that created or replaced it.
type PresetEntry struct {
	preset    model.Preset
	changedBy Change
}

// NewPresetEntry returns an entry of stored state; decoders use it.
func NewPresetEntry(pre model.Preset, changedBy Change) PresetEntry {
	return PresetEntry{preset: pre, changedBy: changedBy}
}

// Preset returns the preset.
func (en PresetEntry) Preset() model.Preset { return en.preset }

// ChangedBy returns the change that created or replaced the preset, or the zero
// change for the built-in preset.
func (en PresetEntry) ChangedBy() Change { return en.changedBy }

// Centre is the service state of a data centre.
type Centre struct {
	name model.CentreID
	// out is true while the data centre is out of service.
	out       bool
	changedBy Change
}

// NewCentre returns a data centre; decoders use it.
func NewCentre(name model.CentreID, out bool, changedBy Change) Centre {
	return Centre{name: name, out: out, changedBy: changedBy}
}

// Name returns the name of the data centre.
func (ce Centre) Name() model.CentreID { return ce.name }

// Out reports whether the data centre is out of service.
func (ce Centre) Out() bool { return ce.out }

// ChangedBy returns the change that last set the service state of the data centre,
// or, if it was never set, the change that added its first VM.
func (ce Centre) ChangedBy() Change { return ce.changedBy }

// answer is the stored answer to an executed command, which the command gets again
// when it is resent.
type answer struct {
	// request is the command without its content. For an accepted command it
	// is the recorded change; for a rejected one its activePreset is empty.
	request Change
	// rejected is nil for an accepted command.
	rejected *RejectedError
}

func (ans answer) result() Result {
	if ans.rejected != nil {
		return Result{rejected: ans.rejected}
	}
	return Result{change: ans.request}
}

// State is the fleet state. The zero value has the built-in preset and no VMs.
type State struct {
	// lastChange is the latest accepted change. Its number is the configuration
	// number, which never decreases.
	lastChange Change
	// activeChange is the change that switched to the active preset. Its target
	// is the built-in preset or a key of presets. It is the zero change until
	// the first switch.
	activeChange Change
	presets      map[string]PresetEntry
	// centres has an entry for the data centre of each VM, and for each data
	// centre that is out of service.
	centres map[model.CentreID]Centre
	vms     map[model.VMID]VM
	answers window[model.CommandID, answer]
	// maxAnswers is the largest number of stored answers; 0 means
	// defaultMaxAnswers. It must be equal on all replicas.
	maxAnswers int
}

// New returns the state before the first command.
func New() *State { return &State{} }

// init allocates the maps of a zero State.
func (st *State) init() {
	if st.presets == nil {
		st.presets = map[string]PresetEntry{}
		st.centres = map[model.CentreID]Centre{}
		st.vms = map[model.VMID]VM{}
		st.answers = newWindow[model.CommandID, answer](cmp.Or(st.maxAnswers, defaultMaxAnswers))
	}
}

// Number returns the current configuration number; 0 before the first change.
func (st *State) Number() uint64 { return st.lastChange.number }

// LastChange returns the latest accepted change, or the zero change before the
// first one.
func (st *State) LastChange() Change { return st.lastChange }

// ActivePresetName returns the name of the active preset.
func (st *State) ActivePresetName() string {
	if st.activeChange.number == 0 {
		return DefaultPreset
	}
	return st.activeChange.target
}

// ActivePreset returns the active preset. Its ChangedBy is the change that switched
// to it, not the one that created it; it is the zero change before the first switch.
func (st *State) ActivePreset() PresetEntry {
	en, _ := st.Preset(st.ActivePresetName())
	en.changedBy = st.activeChange
	return en
}

// Preset returns the preset with the given name.
func (st *State) Preset(name string) (PresetEntry, bool) {
	if name == DefaultPreset {
		pre, err := model.NewPreset(model.PresetSpec{Name: DefaultPreset})
		return PresetEntry{preset: pre}, err == nil
	}
	en, ok := st.presets[name]
	return en, ok
}

// Presets returns the built-in preset, then all others ordered by name.
func (st *State) Presets() []PresetEntry {
	def, _ := st.Preset(DefaultPreset)
	return append([]PresetEntry{def}, sorted(st.presets, func(en PresetEntry) string { return en.preset.Name() })...)
}

// Centre returns the data centre with the given name.
func (st *State) Centre(name model.CentreID) (Centre, bool) {
	ce, ok := st.centres[name]
	return ce, ok
}

// Centres returns all data centres ordered by name.
func (st *State) Centres() []Centre { return sorted(st.centres, Centre.Name) }

// VM returns the VM with the given name.
func (st *State) VM(name model.VMID) (VM, bool) {
	vm, ok := st.vms[name]
	return vm, ok
}

// VMs returns all VMs ordered by name.
func (st *State) VMs() []VM { return sorted(st.vms, VM.Name) }

// sorted returns the values of a map ordered by key.
func sorted[K comparable, V any, O cmp.Ordered](vals map[K]V, key func(V) O) []V {
	out := make([]V, 0, len(vals))
	for _, val := range vals {
		out = append(out, val)
	}
	slices.SortFunc(out, func(va, vb V) int { return cmp.Compare(key(va), key(vb)) })
	return out
}
