package model

import "time"

// DrainMode says what a data centre that was taken out does with running batch
// tasks.
type DrainMode uint8

// The drain modes. The zero value lets tasks finish.
const (
	DrainFinish DrainMode = iota
	DrainCheckpoint
)

// String returns the name used in the API.
func (dm DrainMode) String() string {
	if dm == DrainCheckpoint {
		return "checkpoint"
	}
	return "finish"
}

// ParseDrainMode returns the mode with the given name.
func ParseDrainMode(name string) (DrainMode, bool) {
	switch name {
	case "finish", "":
		return DrainFinish, true
	case "checkpoint":
		return DrainCheckpoint, true
	}
	return DrainFinish, false
}

// Default policy values of a preset that leaves them out.
const (
	DefaultDeadline      = 10 * time.Second
	DefaultMaxRequest    = 30 * time.Second
	DefaultQueuePerSlot  = 2
	DefaultBatchShare    = 60
	DefaultTailTarget    = 250 * time.Millisecond
	maxBatchSharePercent = 100
)

// ServicePolicy is the part of a preset that concerns one service.
type ServicePolicy struct {
	service    ServiceID
	tailTarget time.Duration
	weight     int
}

// NewServicePolicy returns the policy of service: its 99th percentile target
// and its admission weight.
func NewServicePolicy(service ServiceID, tailTarget time.Duration, weight int) ServicePolicy {
	return ServicePolicy{service: service, tailTarget: tailTarget, weight: weight}
}

// Service returns the service that the policy is for.
func (sp ServicePolicy) Service() ServiceID { return sp.service }

// TailTarget returns the target of the 99th percentile of latency.
func (sp ServicePolicy) TailTarget() time.Duration {
	if sp.tailTarget == 0 {
		return DefaultTailTarget
	}
	return sp.tailTarget
}

// Weight returns the admission weight, at least 1.
func (sp ServicePolicy) Weight() int { return max(sp.weight, 1) }

// Quota bounds what the tasks of one team may hold in the fleet.
type Quota struct {
	team   TeamID
	limit  Resources
	weight int
}

// NewQuota returns the quota of team.
func NewQuota(team TeamID, limit Resources, weight int) Quota {
	return Quota{team: team, limit: limit, weight: weight}
}

// Team returns the team that the quota is for.
func (qu Quota) Team() TeamID { return qu.team }

// Limit returns what the team may hold without borrowing.
func (qu Quota) Limit() Resources { return qu.limit }

// Weight returns the fair-share weight, at least 1.
func (qu Quota) Weight() int { return max(qu.weight, 1) }

// PresetSpec is the input of NewPreset. Zero fields mean the defaults.
type PresetSpec struct {
	Name              string
	Deadline          time.Duration
	MaxRequest        time.Duration
	QueuePerSlot      int
	BatchSharePercent int
	Drain             DrainMode
	Forward           bool
	GuardsOff         bool
	Services          []ServicePolicy
	Quotas            []Quota
}

// Preset is one named set of policy. The zero value is the built-in preset
// with the default values and no name.
type Preset struct {
	// spec has passed check and is never changed afterwards; its slices are
	// not shared with callers.
	spec PresetSpec
}

// NewPreset checks spec as a whole and returns the preset. All faults are
// reported at once.
func NewPreset(spec PresetSpec) (Preset, error) {
	if fas := checkPreset(spec); len(fas) > 0 {
		return Preset{}, &PresetError{faults: fas}
	}
	spec.Services = append([]ServicePolicy(nil), spec.Services...)
	spec.Quotas = append([]Quota(nil), spec.Quotas...)
	return Preset{spec: spec}, nil
}

// Spec returns a copy of what the preset was made from.
func (pr Preset) Spec() PresetSpec {
	spec := pr.spec
	spec.Services = append([]ServicePolicy(nil), spec.Services...)
	spec.Quotas = append([]Quota(nil), spec.Quotas...)
	return spec
}

// Name returns the name of the preset.
func (pr Preset) Name() string { return pr.spec.Name }

// Deadline returns the deadline of requests that bring none.
func (pr Preset) Deadline() time.Duration { return orDefault(pr.spec.Deadline, DefaultDeadline) }

// MaxRequest returns the longest time that a request may take.
func (pr Preset) MaxRequest() time.Duration { return orDefault(pr.spec.MaxRequest, DefaultMaxRequest) }

// QueuePerSlot returns the bound of the queue for each slot of a service.
func (pr Preset) QueuePerSlot() int { return orDefault(pr.spec.QueuePerSlot, DefaultQueuePerSlot) }

// BatchShare returns the percentage of processors that batch tasks may hold.
func (pr Preset) BatchShare() int { return orDefault(pr.spec.BatchSharePercent, DefaultBatchShare) }

// Drain returns what happens to batch tasks of a data centre taken out.
func (pr Preset) Drain() DrainMode { return pr.spec.Drain }

// Forward reports whether requests may be forwarded to other data centres.
func (pr Preset) Forward() bool { return pr.spec.Forward }

// Guards reports whether the guards on tail latency are on.
func (pr Preset) Guards() bool { return !pr.spec.GuardsOff }

// Service returns the policy of service, or the defaults.
func (pr Preset) Service(service ServiceID) ServicePolicy {
	for _, sp := range pr.spec.Services {
		if sp.service == service {
			return sp
		}
	}
	return ServicePolicy{service: service}
}

// Quota returns the quota of team and whether the preset has one.
func (pr Preset) Quota(team TeamID) (Quota, bool) {
	for _, qu := range pr.spec.Quotas {
		if qu.team == team {
			return qu, true
		}
	}
	return Quota{}, false
}

// Quotas returns a copy of all quotas.
func (pr Preset) Quotas() []Quota { return append([]Quota(nil), pr.spec.Quotas...) }

func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}
