package slots

import (
	"time"

	"guavarail/core/model"
)

const (
	// Lease is how long a VM may use its credits after it sent the report that
	// renewed them.
	Lease = 2 * time.Second
	// RenewInterval is the time between reports. It allows three attempts within
	// one lease.
	RenewInterval = 600 * time.Millisecond
	// urgentInterval is the shortest time between reports, also for a VM that
	// needs credits now or was asked to return some.
	urgentInterval = 20 * time.Millisecond
)

// Claim is the part of a report that concerns one worker.
type Claim struct {
	worker model.WorkerID
	slots  int
	held   int
	wanted int
}

// NewClaim returns the claim on worker wo: slots is the number that the worker
// announced, held the credits that the VM still holds, and wanted the credits
// that would serve its load.
func NewClaim(wo model.WorkerID, slots, held, wanted int) Claim {
	return Claim{worker: wo, slots: slots, held: held, wanted: wanted}
}

// Worker returns the identifier of the worker.
func (cl Claim) Worker() model.WorkerID { return cl.worker }

// Slots returns the number of slots that the worker announced.
func (cl Claim) Slots() int { return cl.slots }

// Held returns the number of credits that the VM still holds.
func (cl Claim) Held() int { return cl.held }

// Wanted returns the number of credits that would serve the load of the VM.
func (cl Claim) Wanted() int { return cl.wanted }

// ReportSpec is the input of NewReport.
type ReportSpec struct {
	VM model.VMID
	// Boot grows with each start of the VM's process.
	Boot uint64
	// Term is the latest term of a lender that the holder knows.
	Term uint64
	// Number counts the reports of one boot from 1.
	Number uint64
	// Ack is the sequence number of the last grant that the holder accepted.
	Ack uint64
	// Uptime is the time since the process started, or longer if no earlier
	// process can still use a slot.
	Uptime time.Duration
	// Full means that the VM holds no credits of workers without a claim.
	Full bool
	// Leaving means that the VM is shutting down and wants no credits.
	Leaving bool
	Claims  []Claim
}

// Report is sent by a holder to the lender. It renews the lease, returns credits
// and requests more. Without Full it has only the claims that changed.
type Report struct{ spec ReportSpec }

// NewReport returns a report.
func NewReport(spec ReportSpec) Report { return Report{spec: spec} }

// Spec returns the fields of the report, for encoders.
func (re Report) Spec() ReportSpec { return re.spec }

// Share is the part of a grant that concerns one worker.
type Share struct {
	worker model.WorkerID
	limit  int
	target int
}

// NewShare returns the share of worker wo: limit credits are granted, and the
// VM must return those above target when they are no longer in use.
func NewShare(wo model.WorkerID, limit, target int) Share {
	return Share{worker: wo, limit: limit, target: target}
}

// Worker returns the identifier of the worker.
func (sh Share) Worker() model.WorkerID { return sh.worker }

// Limit returns the number of credits granted.
func (sh Share) Limit() int { return sh.limit }

// Target returns the number of credits that the VM should keep.
func (sh Share) Target() int { return sh.target }

// GrantSpec is the input of NewGrant.
type GrantSpec struct {
	VM   model.VMID
	Boot uint64
	Term uint64
	// Number is that of the report that the grant answers.
	Number uint64
	// Sequence orders the grants of one session.
	Sequence uint64
	// Resync requests a full report with Term. Such a grant has no shares and
	// does not renew the lease.
	Resync bool
	Shares []Share
}

// Grant is sent by the lender to a holder in reply to a report, and again when
// the shares change.
type Grant struct{ spec GrantSpec }

// NewGrant returns a grant.
func NewGrant(spec GrantSpec) Grant { return Grant{spec: spec} }

// Spec returns the fields of the grant, for encoders.
func (gr Grant) Spec() GrantSpec { return gr.spec }

// Tick runs the work that depends on time, such as the end of a lease.
type Tick struct{}

// Input is one input of a Holder or a Lender.
type Input interface{ input() }

// Effect is one effect of a Holder or a Lender.
type Effect interface{ effect() }

func (Report) input()  {}
func (Report) effect() {}
func (Grant) input()   {}
func (Grant) effect()  {}
func (Tick) input()    {}
