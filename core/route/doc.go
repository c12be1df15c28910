// Package route decides which backend server runs a request, which requests
// wait, and which are rejected. The Machine holds the backend table and the
// requests in flight of one entry VM. It dispatches to a worker only while
// fewer of its slots are in use than the credits that the VM holds for it.
//
// The type parameter K is the key of a request; the machine only compares it.
// After Done with Expired or Cancelled, the slot counts as in use until
// SlotReleased.
package route
