package fleet

import (
	"cmp"
	"slices"

	"guavarail/core/model"
)

// DefaultPreset names the built-in preset, which is active until the first
// switch.
const DefaultPreset = "default"

// Bounds of the state.
const (
	maxPresets = 256
	// maxPresetItems bounds the services and the quotas of one preset: twice
	// the 450 teams of the size to come, rounded up.
	maxPresetItems = 1000
	maxVMs         = 1000
	maxCentres     = 256
	// answerRoom is the number of answers kept for retries.
	answerRoom = 4096
)

// PresetEntry is a preset and the change that created it.
type PresetEntry struct {
	preset model.Preset
	by     Change
}

// NewPresetEntry returns an entry; decoders use it.
func NewPresetEntry(pre model.Preset, by Change) PresetEntry {
	return PresetEntry{preset: pre, by: by}
}

// Preset returns the preset.
func (en PresetEntry) Preset() model.Preset { return en.preset }

// By returns the change that created the preset. The built-in preset has
// none.
func (en PresetEntry) By() Change { return en.by }

// Centre is the service state of a data centre.
type Centre struct {
	name model.CentreID
	out  bool
	by   Change
}

// NewCentre returns a data centre; decoders use it.
func NewCentre(name model.CentreID, out bool, by Change) Centre {
	return Centre{name: name, out: out, by: by}
}

// Name returns the name of the data centre.
func (ce Centre) Name() model.CentreID { return ce.name }

// Out reports whether the data centre is out of service.
func (ce Centre) Out() bool { return ce.out }

// By returns the change that gave the data centre its service state.
func (ce Centre) By() Change { return ce.by }

// answer is what is kept of a command that was carried out or rejected.
type answer struct {
	// asked is the outline of the command; for an accepted command it is
	// its change.
	asked    Change
	rejected *RejectedError
}

func (ans answer) result() Result {
	if ans.rejected != nil {
		return Result{rejected: ans.rejected}
	}
	return Result{change: ans.asked}
}

// State is the fleet state. The zero value has the built-in preset and no VMs.
type State struct {
	// last is the latest accepted change; its number is the configuration
	// number and never decreases.
	last Change
	// active is the change that switched to the active preset; its target
	// is the built-in preset or a key of presets.
	active  Change
	presets map[string]PresetEntry
	// centres has an entry for the data centre of each VM.
	centres map[model.CentreID]Centre
	vms     map[model.VMID]VM
	answers window[model.CommandID, answer]
	// room is the number of answers kept; 0 means answerRoom. It must be the
	// same on all replicas.
	room int
}

// New returns the state of a fleet without commands.
func New() *State { return &State{} }

// init makes the maps of a zero value.
func (st *State) init() {
	if st.presets == nil {
		st.presets = map[string]PresetEntry{}
		st.centres = map[model.CentreID]Centre{}
		st.vms = map[model.VMID]VM{}
		st.answers = newWindow[model.CommandID, answer](cmp.Or(st.room, answerRoom))
	}
}

// Number returns the configuration number in effect.
func (st *State) Number() uint64 { return st.last.number }

// Last returns the latest accepted change.
func (st *State) Last() Change { return st.last }

// ActiveName returns the name of the active preset.
func (st *State) ActiveName() string {
	if st.active.number == 0 {
		return DefaultPreset
	}
	return st.active.target
}

// Active returns the active preset and the change that switched to it.
func (st *State) Active() PresetEntry {
	en, _ := st.Preset(st.ActiveName())
	en.by = st.active
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

// Presets returns all presets by name, the built-in one included.
func (st *State) Presets() []PresetEntry {
	def, _ := st.Preset(DefaultPreset)
	return append([]PresetEntry{def}, sorted(st.presets, func(en PresetEntry) string { return en.preset.Name() })...)
}

// Centre returns the data centre with the given name.
func (st *State) Centre(name model.CentreID) (Centre, bool) {
	ce, ok := st.centres[name]
	return ce, ok
}

// Centres returns all data centres by name.
func (st *State) Centres() []Centre { return sorted(st.centres, Centre.Name) }

// VM returns the VM with the given name.
func (st *State) VM(name model.VMID) (VM, bool) {
	vm, ok := st.vms[name]
	return vm, ok
}

// VMs returns all VMs by name.
func (st *State) VMs() []VM { return sorted(st.vms, VM.Name) }

func sorted[K comparable, V any, O cmp.Ordered](vals map[K]V, key func(V) O) []V {
	out := make([]V, 0, len(vals))
	for _, val := range vals {
		out = append(out, val)
	}
	slices.SortFunc(out, func(va, vb V) int { return cmp.Compare(key(va), key(vb)) })
	return out
}
