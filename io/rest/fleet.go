package rest

import (
	"guavarail/core/fleet"
	"guavarail/core/model"
)

// Header is part of the body of every operator command.
type Header struct {
	// Command is the ID of the command. It is unique, and the same when the command
	// is sent again.
	Command string `json:"command"`
	// Number is the configuration number that the command asks for: the one that the
	// operator last saw, plus one.
	Number   uint64 `json:"number"`
	Operator string `json:"operator"`
}

// NewCommand returns the operator command with this header and the given action.
func (he Header) NewCommand(act fleet.Action) fleet.Command {
	return fleet.NewCommand(model.CommandID(he.Command), he.Number, he.Operator, act)
}

// Change describes an accepted operator command without its content.
type Change struct {
	Command  string `json:"command"`
	Number   uint64 `json:"number"`
	Operator string `json:"operator"`
	Kind     string `json:"kind"`
	// Target is the name of the preset, data centre or VM that was changed; empty if
	// the command applies to all VMs.
	Target string `json:"target"`
	// Preset is the preset in effect directly after the change.
	Preset string `json:"preset"`
}

// NewChange returns the body for ch, or nil if ch has number 0, which no accepted
// command has.
func NewChange(ch fleet.Change) *Change {
	if ch.Number() == 0 {
		return nil
	}
	return &Change{
		Command: string(ch.Command()), Number: ch.Number(), Operator: ch.Operator(),
		Kind: ch.Kind().String(), Target: ch.Target(), Preset: ch.ActivePreset(),
	}
}

// CommandAccepted answers an accepted operator command.
type CommandAccepted struct {
	Change Change `json:"change"`
}

// NewCommandAccepted returns the answer to an accepted command.
func NewCommandAccepted(ch fleet.Change) CommandAccepted {
	if out := NewChange(ch); out != nil {
		return CommandAccepted{Change: *out}
	}
	return CommandAccepted{}
}

// NewRejected returns the response body for a rejected operator command.
func NewRejected(rej *fleet.RejectedError) Failure {
	holder, _ := rej.Holder()
	return Failure{Error: Error{
		Type: rej.Reason().String(), Message: rej.Error(), Advice: rej.Reason().Advice(),
		Command: string(rej.Command()), Holder: NewChange(holder),
		InEffect: &InEffect{Number: rej.Number(), Preset: rej.ActivePreset()},
	}}
}

// Centre is the body of one data centre.
type Centre struct {
	Name string `json:"name"`
	// Service is in, returning or out.
	Service string `json:"service"`
	// AdmitPercent is the percentage of task starts and requests that the data centre
	// admits: 100 in service, 0 out of service.
	AdmitPercent int `json:"admitPercent"`
	// Reachable reports whether the answering VM receives messages from a VM of
	// the data centre.
	Reachable bool `json:"reachable"`
	// Leader is the leader of the data centre's replication group, if known.
	Leader string `json:"leader,omitempty"`
	VMs    int    `json:"vms"`
	// RunningTasks is the number of tasks that have resources allocated.
	RunningTasks int `json:"runningTasks"`
	WaitingTasks int `json:"waitingTasks"`
	// By is the operator command that last changed the data centre.
	By *Change `json:"by,omitempty"`
}

// Values of Centre.Service.
const (
	ServiceIn        = "in"
	ServiceReturning = "returning"
	ServiceOut       = "out"
)

// CentreList answers GET /v1/centres.
type CentreList struct {
	InEffect InEffect `json:"inEffect"`
	Centres  []Centre `json:"centres"`
}

// CentreCommand is the body of POST /v1/centres/NAME/out and in.
type CentreCommand struct {
	Header
	// Force allows the last data centre in service to be taken out of service.
	Force bool `json:"force,omitempty"`
}

// VM is the body of one VM. In an operator command, Role, State, Leads and By are
// ignored.
type VM struct {
	Name        string `json:"name"`
	Centre      string `json:"centre"`
	PeerAddress string `json:"peerAddress"`
	APIAddress  string `json:"apiAddress"`
	Disk        bool   `json:"disk"`
	DiskID      string `json:"diskId,omitempty"`
	// Role is learner or voter.
	Role string `json:"role"`
	// State is alive, suspect or unreachable, as the answering VM sees it.
	State string `json:"state,omitempty"`
	// Leads lists the replication groups that the VM leads.
	Leads []string `json:"leads,omitempty"`
	// By is the operator command that last changed the VM.
	By *Change `json:"by,omitempty"`
}

// NewVM returns the body for vm without State and Leads, which are not part of
// the replicated state.
func NewVM(vm fleet.VM) VM {
	sp := vm.Spec()
	return VM{
		Name: string(sp.Name), Centre: string(sp.Centre), PeerAddress: sp.PeerAddress, APIAddress: sp.APIAddress,
		Disk: sp.Disk, DiskID: sp.DiskID, Role: sp.Role.String(), By: NewChange(vm.ChangedBy()),
	}
}

// Fleet converts the VM in an operator command to the type of core/fleet.
func (vm VM) Fleet() fleet.VM {
	return fleet.NewVM(fleet.VMSpec{
		Name: model.VMID(vm.Name), Centre: model.CentreID(vm.Centre),
		PeerAddress: vm.PeerAddress, APIAddress: vm.APIAddress, Disk: vm.Disk, DiskID: vm.DiskID,
	})
}

// VMList answers GET /v1/vms.
type VMList struct {
	InEffect InEffect `json:"inEffect"`
	VMs      []VM     `json:"vms"`
}

// VMCommand is the body of POST /v1/vms, which adds a learner, and of POST
// /v1/vms/NAME/replace.
type VMCommand struct {
	Header
	VM VM `json:"vm"`
}

// VMChange is the body of POST /v1/vms/NAME/promote and remove.
type VMChange struct {
	Header
	// DiskID is the ID of the disk that is to be promoted.
	DiskID string `json:"diskId,omitempty"`
}
