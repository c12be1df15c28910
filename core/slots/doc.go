// Package slots leases the slots of workers to the entry VMs of a data centre.
// A credit is the right to use one slot of a worker while the lease is valid.
// The Lender runs on the leader of the data centre group, a Holder on each
// entry VM. The slots of a worker in use never exceed the number that the
// worker announced, despite leader changes, lost, late and reordered messages,
// and VMs that stop reporting.
//
// Three rules guarantee this. The lender lowers the credits that it counts for
// a VM only because of a report of that VM or, for a VM that stopped reporting,
// after the lease and the maximum request time. A holder accepts a grant only
// if it answers the latest report that the holder sent, so an older grant
// cannot restore credits that were returned. A lender accepts a report only if
// it has the lender's term. The holder learned that term from this lender, and
// from then on it accepts no grant of an earlier term.
package slots
