// Package slots leases the slots of workers to the entry VMs of a data centre.
// The Lender runs on the leader of the data centre group, a Holder on each
// entry VM. The slots of a worker in use at once never exceed those that it
// announced, also through leader changes, lost, late and reordered messages,
// and VMs that fall silent.
//
// Three rules carry this. The lender lowers what it counts for a VM only by a
// report of that VM or, for a silent VM, after the lease and the maximum
// request time. A holder takes a grant only for the latest report that it sent,
// so an older grant cannot bring back credits that it gave back. A lender
// accepts a report only if it names the lender's term, which the holder learned
// from it and after which the holder takes no grant of an earlier term.
package slots
