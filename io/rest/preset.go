package rest

import (
	"time"

	"guavarail/core/fleet"
	"guavarail/core/model"
)

// Preset is the body of one preset. A field that is left out in a command means
// the default; answers contain the default itself.
type Preset struct {
	Name string `json:"name"`
	// DeadlineMs is the deadline of requests without one of their own.
	DeadlineMs int64 `json:"deadlineMs,omitempty"`
	// MaxRequestMs is the maximum request time.
	MaxRequestMs int64 `json:"maxRequestMs,omitempty"`
	// QueuePerSlot is the number of requests that may wait for each slot of a
	// service.
	QueuePerSlot int `json:"queuePerSlot,omitempty"`
	// BatchSharePercent is the percentage of processors that batch tasks may use.
	BatchSharePercent int `json:"batchSharePercent,omitempty"`
	// Drain is the name of a model.DrainMode: what happens to running batch tasks of
	// a data centre that is taken out of service.
	Drain string `json:"drain,omitempty"`
	// Forward allows requests to be forwarded to other data centres.
	Forward bool `json:"forward"`
	// Guards enables the guards on tail latency, which throttle or evict batch tasks
	// that slow down services; nil means enabled.
	Guards   *bool           `json:"guards,omitempty"`
	Services []ServicePolicy `json:"services,omitempty"`
	Quotas   []Quota         `json:"quotas,omitempty"`
	// Active and By are set in answers only. Active marks the active preset, and By
	// is the operator command that last changed the preset.
	Active bool    `json:"active,omitempty"`
	By     *Change `json:"by,omitempty"`
}

// ServicePolicy is the part of a preset that concerns one service.
type ServicePolicy struct {
	Service string `json:"service"`
	// TailTargetMs is the target of the 99th percentile latency.
	TailTargetMs int64 `json:"tailTargetMs,omitempty"`
	// Weight is the admission weight, at least 1.
	Weight int `json:"weight,omitempty"`
}

// Quota limits the resources that the tasks of one team may use without borrowing.
type Quota struct {
	Team  string    `json:"team"`
	Limit Resources `json:"limit"`
	// Weight is the fair-share weight, at least 1.
	Weight int `json:"weight,omitempty"`
}

// Resources is an amount of each resource.
type Resources struct {
	// MilliCPU is in thousandths of a processor.
	MilliCPU int64 `json:"milliCpu"`
	// MemoryMB is in megabytes.
	MemoryMB     int64 `json:"memoryMb"`
	Accelerators int64 `json:"accelerators"`
}

// NewResources returns the body for re.
func NewResources(re model.Resources) Resources {
	return Resources{MilliCPU: re.MilliCPU(), MemoryMB: re.MemoryMB(), Accelerators: re.Accelerators()}
}

// Model converts the body to the type of core/model.
func (re Resources) Model() model.Resources {
	return model.NewResources(re.MilliCPU, re.MemoryMB, re.Accelerators)
}

// NewPreset returns the body for a preset; defaults stand in for the fields that it
// does not set. active is the name of the active preset.
func NewPreset(en fleet.PresetEntry, active string) Preset {
	pre := en.Preset()
	guards := pre.Guards()
	out := Preset{
		Name: pre.Name(), DeadlineMs: pre.Deadline().Milliseconds(), MaxRequestMs: pre.MaxRequest().Milliseconds(),
		QueuePerSlot: pre.QueuePerSlot(), BatchSharePercent: pre.BatchShare(), Drain: pre.Drain().String(),
		Forward: pre.Forward(), Guards: &guards, Active: pre.Name() == active, By: NewChange(en.ChangedBy()),
	}
	for _, sp := range pre.Spec().Services {
		out.Services = append(out.Services, ServicePolicy{
			Service: string(sp.Service()), TailTargetMs: sp.TailTarget().Milliseconds(), Weight: sp.Weight(),
		})
	}
	for _, qu := range pre.Quotas() {
		out.Quotas = append(out.Quotas, Quota{Team: string(qu.Team()), Limit: NewResources(qu.Limit()), Weight: qu.Weight()})
	}
	return out
}

// Model converts the preset to the type of core/model, which validates it. The error
// is a *model.PresetError, which lists all invalid fields.
func (pr Preset) Model() (model.Preset, error) {
	// An unknown drain mode is converted to a value out of range, so that the
	// model reports it together with the other invalid fields.
	drain, ok := model.ParseDrainMode(pr.Drain)
	if !ok {
		drain = model.DrainCheckpoint + 1
	}
	spec := model.PresetSpec{
		Name: pr.Name, Deadline: millis(pr.DeadlineMs), MaxRequest: millis(pr.MaxRequestMs),
		QueuePerSlot: pr.QueuePerSlot, BatchSharePercent: pr.BatchSharePercent, Drain: drain,
		Forward: pr.Forward, GuardsOff: pr.Guards != nil && !*pr.Guards,
	}
	for _, sp := range pr.Services {
		spec.Services = append(spec.Services, model.NewServicePolicy(model.ServiceID(sp.Service), millis(sp.TailTargetMs), sp.Weight))
	}
	for _, qu := range pr.Quotas {
		spec.Quotas = append(spec.Quotas, model.NewQuota(model.TeamID(qu.Team), qu.Limit.Model(), qu.Weight))
	}
	return model.NewPreset(spec)
}

// maxMillis is the largest number of milliseconds that a time.Duration can hold. A
// larger one would overflow and could wrap around into the valid range.
const maxMillis = int64(1<<63-1) / int64(time.Millisecond)

// millis converts milliseconds to a duration. The result is limited to maxMillis
// milliseconds and, if negative, to -maxMillis.
func millis(num int64) time.Duration {
	return time.Duration(max(-maxMillis, min(num, maxMillis))) * time.Millisecond
}

// PresetList answers GET /v1/presets.
type PresetList struct {
	InEffect InEffect `json:"inEffect"`
	Presets  []Preset `json:"presets"`
}

// PresetCreate is the body of POST /v1/presets.
type PresetCreate struct {
	Header
	Preset Preset `json:"preset"`
	// Replace allows the command to overwrite an inactive preset with the same
	// name.
	Replace bool `json:"replace,omitempty"`
}

// PresetSwitch is the body of POST /v1/presets/NAME/switch.
type PresetSwitch struct {
	Header
}
