// Package route decides which backend server runs a request, which requests
// wait, and which are rejected or forwarded to another data centre. The Machine
// holds the backend table and the unfinished requests of one entry VM, which is
// a VM that callers send their requests to.
//
// A slot is the capacity of a worker to run one request. All backend servers on
// a worker share its slots. A credit is the right of an entry VM to use one slot
// of a worker while the lease is valid; package slots leases them. The machine
// dispatches a request to a worker only while it uses fewer slots of the worker
// than the VM holds credits for it. Credits may be lowered below the slots in
// use; then the machine dispatches nothing to the worker until enough requests
// have ended.
//
// A request holds its slot from Dispatch until it ends with Done, Unsent or
// Cancel. After Done with Expired or Cancelled the server may still be running
// it: such a request is abandoned and holds its slot until SlotReleased.
//
// The type parameter K is the key of a request; the machine only compares it.
package route
