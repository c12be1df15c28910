package slots

import (
	"time"

	"guavarail/core/model"
)

const (
	// Lease is how long a VM may use its credits after it sent the last report that
	// the lender answered. For clock drift, the holder shortens it
	// (model.LessDrift) and the lender lengthens it (model.WithDrift).
	Lease = 2 * time.Second
	// RenewInterval is the time between regular reports. It allows three reports
	// within one lease.
	RenewInterval = 600 * time.Millisecond
	// urgentInterval is the time between reports of a VM that wants more credits or
	// has some to return. No reports are sent at shorter intervals.
	urgentInterval = 20 * time.Millisecond
)

// Claim is the part of a report that concerns one worker: the credits of it that
// the VM holds and wants.
type Claim struct {
	worker model.WorkerID
	slots  int
	held   int
	wanted int
}

// NewClaim returns the claim on worker wo. slots is the number that the worker
// announced, 0 if it has no backend server. held is the number of credits that
// the VM holds, including those whose slots are still in use after the VM's limit
// was lowered; the claim returns all other credits that the lender granted. wanted
// is the number of credits that would serve the VM's load.
func NewClaim(wo model.WorkerID, slots, held, wanted int) Claim {
	return Claim{worker: wo, slots: slots, held: held, wanted: wanted}
}

// Worker returns the identifier of the worker.
func (cl Claim) Worker() model.WorkerID { return cl.worker }

// Slots returns the number of slots that the worker announced, 0 if it has no
// backend server.
func (cl Claim) Slots() int { return cl.slots }

// Held returns the number of credits that the VM holds. The claim returns all
// other credits that the lender granted.
func (cl Claim) Held() int { return cl.held }

// Wanted returns the number of credits that would serve the load of the VM.
func (cl Claim) Wanted() int { return cl.wanted }

// ReportSpec is the input of NewReport.
type ReportSpec struct {
	// VM is the VM of the holder.
	VM model.VMID
	// Boot is the incarnation of the VM's process. It grows with each start, unless the wall
	// clock of the VM has gone back.
	Boot uint64
	// Term is the highest lender's term in a grant to the holder, 0 before the
	// first grant.
	Term uint64
	// Number counts the reports of one incarnation from 1.
	Number uint64
	// Ack is the sequence number of the last grant that the holder accepted, 0 if
	// there is none in this term or after a Resync.
	Ack uint64
	// Uptime is the time since the process started, or 24 h if the former process
	// ended in a planned shutdown. If it exceeds the sum of the lease and the
	// maximum request time, no earlier process of this VM can still use a slot.
	Uptime time.Duration
	// Full means that the VM holds no credits other than those in Claims.
	// Otherwise Claims has only the claims that changed or that the lender may not
	// have received.
	Full bool
	// Leaving means that the VM is shutting down and wants no credits.
	Leaving bool
	Claims  []Claim
}

// Report is sent by a holder to the lender. It requests a renewal of the lease,
// returns credits and requests more.
type Report struct{ spec ReportSpec }

// NewReport returns a report.
func NewReport(spec ReportSpec) Report { return Report{spec: spec} }

// Spec returns the fields of the report, for encoders.
func (re Report) Spec() ReportSpec { return re.spec }

// Share is the part of a grant that concerns one worker: the credits of it that
// the VM has and should have.
type Share struct {
	worker model.WorkerID
	limit  int
	target int
}

// NewShare returns the share of worker wo: limit credits are granted, and the
// VM must return those above target when they are no longer in use. target is
// above limit while other VMs still hold the missing credits.
func NewShare(wo model.WorkerID, limit, target int) Share {
	return Share{worker: wo, limit: limit, target: target}
}

// Worker returns the identifier of the worker.
func (sh Share) Worker() model.WorkerID { return sh.worker }

// Limit returns the number of credits granted.
func (sh Share) Limit() int { return sh.limit }

// Target returns the number of credits that the VM should have. The VM must
// return those above it when they are no longer in use. It is above the limit
// while other VMs still hold the missing credits.
func (sh Share) Target() int { return sh.target }

// GrantSpec is the input of NewGrant.
type GrantSpec struct {
	// VM and Boot are those of the report that the grant answers.
	VM   model.VMID
	Boot uint64
	// Term is the term of the lender.
	Term uint64
	// Number is the number of the VM's latest report, which the grant answers.
	Number uint64
	// Sequence orders the grants to one incarnation of the VM in one term; it is 0
	// with Resync.
	Sequence uint64
	// Resync means that the holder must send a full report that has the grant's
	// Term. Such a grant has no shares and does not renew the lease.
	Resync bool
	// Shares are the shares whose last change the VM has not acknowledged.
	Shares []Share
}

// Grant is sent by the lender to a holder in reply to a report, and again when
// the shares change.
type Grant struct{ spec GrantSpec }

// NewGrant returns a grant.
func NewGrant(spec GrantSpec) Grant { return Grant{spec: spec} }

// Spec returns the fields of the grant, for encoders.
func (gr Grant) Spec() GrantSpec { return gr.spec }

// Tick runs the work that depends on time: a holder sends reports and sets its
// limits to 0 when the lease is over, a lender reclaims the credits of VMs that
// stopped reporting.
type Tick struct{}

// Input is one input of a Holder or a Lender.
type Input interface{ input() }

// Effect is one action that the owner of a Holder or a Lender must carry out.
type Effect interface{ effect() }

func (Report) input()  {}
func (Report) effect() {}
func (Grant) input()   {}
func (Grant) effect()  {}
func (Tick) input()    {}
