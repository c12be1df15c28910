// Package route decides which backend server runs a request, which requests
// wait, and which are rejected. The machine holds the backend table and the
// requests in flight of one entry VM. It never lets more requests run on a
// worker than the credits that the VM holds.
//
// K identifies a request; the machine only compares it. Done with Expired or
// Cancelled keeps the slot counted until Ended.
package route
