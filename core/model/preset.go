package model

import "time"

// DrainMode is what happens to the running batch tasks of a data centre that an
// operator takes out of service.
type DrainMode uint8

// The drain modes.
const (
	// DrainFinish lets tasks finish and stops those that still run after 10 min. It
	// is the zero value.
	DrainFinish DrainMode = iota
	// DrainCheckpoint stops tasks at once, after a checkpoint.
	DrainCheckpoint
)

// String returns the name of the mode in the API.
func (dm DrainMode) String() string {
	if dm == DrainCheckpoint {
		return "checkpoint"
	}
	return "finish"
}

// ParseDrainMode returns the mode with the given name and whether there is one.
// The empty name is that of the zero value.
func ParseDrainMode(name string) (DrainMode, bool) {
	switch name {
	case "finish", "":
		return DrainFinish, true
	case "checkpoint":
		return DrainCheckpoint, true
	}
	return DrainFinish, false
}

// Default values for fields that a preset does not set. DefaultQueuePerSlot is
// in requests, DefaultBatchShare in percent.
const (
	DefaultDeadline     = 10 * time.Second
	DefaultMaxRequest   = 30 * time.Second
	DefaultQueuePerSlot = 2
	DefaultBatchShare   = 60
	DefaultTailTarget   = 250 * time.Millisecond

	maxBatchSharePercent = 100
)

// ServicePolicy is the part of a preset that applies to one service.
type ServicePolicy struct {
	service    ServiceID
	tailTarget time.Duration
	weight     int
}

// NewServicePolicy returns the policy of service: the target of its 99th
// percentile latency, zero for DefaultTailTarget, and its admission weight, zero
// for 1.
func NewServicePolicy(service ServiceID, tailTarget time.Duration, weight int) ServicePolicy {
	return ServicePolicy{service: service, tailTarget: tailTarget, weight: weight}
}

// Service returns the service that the policy applies to.
func (sp ServicePolicy) Service() ServiceID { return sp.service }

// TailTarget returns the target of the 99th percentile latency, or
// DefaultTailTarget if the policy sets none.
func (sp ServicePolicy) TailTarget() time.Duration {
	if sp.tailTarget == 0 {
		return DefaultTailTarget
	}
	return sp.tailTarget
}

// Weight returns the admission weight, at least 1. It is stored and returned by
// the API; no decision uses it.
func (sp ServicePolicy) Weight() int { return max(sp.weight, 1) }

// Quota is the amount of resources that the tasks of one team may hold in the
// fleet without borrowing, and the weight by which the team shares resources with
// other teams. Resources that the team holds beyond the amount are borrowed.
type Quota struct {
	team   TeamID
	limit  Resources
	weight int
}

// NewQuota returns the quota of team: its limit and its fair-share weight, zero
// for 1.
func NewQuota(team TeamID, limit Resources, weight int) Quota {
	return Quota{team: team, limit: limit, weight: weight}
}

// Team returns the team that the quota applies to.
func (qu Quota) Team() TeamID { return qu.team }

// Limit returns the resources that the team may hold without borrowing.
func (qu Quota) Limit() Resources { return qu.limit }

// Weight returns the fair-share weight, at least 1.
func (qu Quota) Weight() int { return max(qu.weight, 1) }

// PresetSpec is the input of NewPreset. Zero fields mean the defaults.
type PresetSpec struct {
	Name string
	// Deadline is the time limit, counted from the arrival, of requests without
	// one of their own.
	Deadline time.Duration
	// MaxRequest is the maximum request time, counted from the arrival. A request
	// that is still running then is ended.
	MaxRequest time.Duration
	// QueuePerSlot is the number of requests that may wait in an entry VM for each
	// slot of the service that the VM may use.
	QueuePerSlot int
	// BatchSharePercent is the percentage of the processors of a data centre that
	// batch tasks may hold.
	BatchSharePercent int
	// Drain is what happens to running batch tasks of a data centre that is taken
	// out of service.
	Drain DrainMode
	// Forward allows forwarding requests to other data centres.
	Forward bool
	// GuardsOff turns off the measures that protect services from batch tasks which
	// raise their tail latency above the target.
	GuardsOff bool
	Services  []ServicePolicy
	// Quotas limits no team if it is empty. Otherwise a team without an entry has a
	// quota of zero.
	Quotas []Quota
}

// Preset is a named, immutable set of policy values. The zero value is the
// built-in preset, which has the default values and no name.
type Preset struct {
	// spec is zero or has passed checkPreset, and is never changed afterwards; its
	// slices are not shared with callers.
	spec PresetSpec
}

// NewPreset returns the preset for spec, or a *PresetError with all faults of
// spec.
func NewPreset(spec PresetSpec) (Preset, error) {
	if fas := checkPreset(spec); len(fas) > 0 {
		return Preset{}, &PresetError{faults: fas}
	}
	spec.Services = append([]ServicePolicy(nil), spec.Services...)
	spec.Quotas = append([]Quota(nil), spec.Quotas...)
	return Preset{spec: spec}, nil
}

// Spec returns a copy of the spec that the preset was made from.
func (pr Preset) Spec() PresetSpec {
	spec := pr.spec
	spec.Services = append([]ServicePolicy(nil), spec.Services...)
	spec.Quotas = append([]Quota(nil), spec.Quotas...)
	return spec
}

// Name returns the name of the preset; it is empty for the built-in preset.
func (pr Preset) Name() string { return pr.spec.Name }

// Deadline returns the time limit, counted from the arrival, of requests without
// one of their own.
func (pr Preset) Deadline() time.Duration { return orDefault(pr.spec.Deadline, DefaultDeadline) }

// MaxRequest returns the maximum request time, counted from the arrival.
func (pr Preset) MaxRequest() time.Duration { return orDefault(pr.spec.MaxRequest, DefaultMaxRequest) }

// QueuePerSlot returns the number of requests that may wait in an entry VM for
// each slot of the service that the VM may use.
func (pr Preset) QueuePerSlot() int { return orDefault(pr.spec.QueuePerSlot, DefaultQueuePerSlot) }

// BatchShare returns the percentage of the processors of a data centre that batch
// tasks may hold.
func (pr Preset) BatchShare() int { return orDefault(pr.spec.BatchSharePercent, DefaultBatchShare) }

// Drain returns what happens to running batch tasks of a data centre that is
// taken out of service.
func (pr Preset) Drain() DrainMode { return pr.spec.Drain }

// Forward reports whether requests may be forwarded to other data centres.
func (pr Preset) Forward() bool { return pr.spec.Forward }

// Guards reports whether services are protected from batch tasks which raise
// their tail latency above the target.
func (pr Preset) Guards() bool { return !pr.spec.GuardsOff }

// Service returns the policy of service, or a default policy if the preset has
// none.
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

// orDefault returns val, or def if val is the zero value.
func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}
