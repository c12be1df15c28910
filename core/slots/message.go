package slots

import (
	"time"

	"guavarail/core/model"
)

const (
	// Lease is how long a VM uses its credits after the request that renewed
	// them was sent.
	Lease = 2 * time.Second
	// RenewEvery leaves three attempts within one lease.
	RenewEvery = 600 * time.Millisecond
	// urgentEvery bounds the reports of a VM that needs credits now or was asked
	// to give some back.
	urgentEvery = 20 * time.Millisecond
)

// Claim is what a report says about one worker.
type Claim struct {
	worker model.WorkerID
	slots  int
	held   int
	wanted int
}

// NewClaim returns the claim on worker: held credits are kept by the VM, wanted
// is what would serve its load, slots is what the worker announced.
func NewClaim(wo model.WorkerID, slots, held, wanted int) Claim {
	return Claim{worker: wo, slots: slots, held: held, wanted: wanted}
}

// Worker names the worker.
func (cl Claim) Worker() model.WorkerID { return cl.worker }

// Slots returns the slots that the worker announced.
func (cl Claim) Slots() int { return cl.slots }

// Held returns the credits that the VM keeps.
func (cl Claim) Held() int { return cl.held }

// Wanted returns the credits that would serve the load of the VM.
func (cl Claim) Wanted() int { return cl.wanted }

// ReportSpec is the input of NewReport.
type ReportSpec struct {
	VM model.VMID
	// Boot numbers the starts of the VM's process in growing order.
	Boot uint64
	// Term is the term of the lender that the holder knows.
	Term uint64
	// Number counts the reports of one boot from 1.
	Number uint64
	// Ack is the sequence number of the last grant that was taken.
	Ack uint64
	// Uptime is the time since the process started.
	Uptime time.Duration
	// Full says that workers without a claim are not held.
	Full bool
	// Leaving says that the VM shuts down and wants no credits.
	Leaving bool
	Claims  []Claim
}

// Report is sent by a holder to the lender. It renews the lease, gives credits
// back and asks for more. Without Full it has only the claims that changed.
type Report struct{ spec ReportSpec }

// NewReport returns a report.
func NewReport(spec ReportSpec) Report { return Report{spec: spec} }

// Spec returns the parts of the report, for encoders.
func (re Report) Spec() ReportSpec { return re.spec }

// Share is what a grant says about one worker.
type Share struct {
	worker model.WorkerID
	limit  int
	target int
}

// NewShare returns the share of worker: limit credits are granted, and those
// above target are to be given back when they are free.
func NewShare(wo model.WorkerID, limit, target int) Share {
	return Share{worker: wo, limit: limit, target: target}
}

// Worker names the worker.
func (sh Share) Worker() model.WorkerID { return sh.worker }

// Limit returns the credits granted.
func (sh Share) Limit() int { return sh.limit }

// Target returns the credits that the lender wants the VM to keep.
func (sh Share) Target() int { return sh.target }

// GrantSpec is the input of NewGrant.
type GrantSpec struct {
	VM     model.VMID
	Boot   uint64
	Term   uint64
	Number uint64
	// Sequence orders the grants of one session.
	Sequence uint64
	// Resync asks for a full report under Term. Such a grant has no shares and
	// renews nothing.
	Resync bool
	Shares []Share
}

// Grant is sent by the lender to a holder, as the answer to a report or later
// when the shares change.
type Grant struct{ spec GrantSpec }

// NewGrant returns a grant.
func NewGrant(spec GrantSpec) Grant { return Grant{spec: spec} }

// Spec returns the parts of the grant, for encoders.
func (gr Grant) Spec() GrantSpec { return gr.spec }

// Tick lets time pass.
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
