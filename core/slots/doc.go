// Package slots leases the slots of workers to the entry VMs of a data centre.
// A slot is the capacity of a worker to run one request; an entry VM receives
// requests and dispatches them to workers. A credit is the right of one VM to use
// one slot of a worker while the VM's lease is valid. The Lender, on the leader
// of the data centre group, grants credits. The Holder, on each entry VM, holds
// the credits of that VM and passes them to the routing machine (route.Machine)
// as limits.
//
// The holder sends a Report every RenewInterval, or earlier if it has credits to
// return or wants more. The lender answers with a Grant, which renews the lease
// of all credits of the VM, and sends further grants when the shares change.
//
// The slots of a worker in use never exceed the number that the worker
// announced, despite leader changes, lost, delayed and reordered messages, and
// VMs that stop reporting. Three rules guarantee this:
//
//   - The lender lowers the number of credits that it counts for a VM only because
//     of a report of that VM or, if the VM stopped reporting, after the lease and
//     the maximum request time.
//   - A holder accepts a grant only if it answers the latest report that the
//     holder sent, so an older grant cannot restore credits that were returned.
//   - A lender accepts a report only if it has the lender's term. The holder has
//     received that term from this lender, and from then on it accepts no grant
//     of an earlier term.
//
// A new leader has no record of the credits that earlier leaders granted. Until
// all VMs have reported theirs, or these credits must have expired, it collects
// them: it treats slots without a reported credit as granted and grants none of
// them.
package slots
