// Package entry implements the HTTP request path of an entry VM, which accepts
// the requests of callers: a net/http server for callers and an http.Transport to
// backend servers. For each request a handler goroutine asks the actor that owns the
// core/route state machine for a backend server and a slot, sends the request, streams
// the response and reports the end. Handlers and actor share no state and communicate
// by messages.
//
// A slot is a worker's capacity for one request at a time. The credits of an entry
// VM are the slots of each worker that it may use while its lease is valid.
//
// A request with an idempotency key is sent only after the key was claimed for it
// in a replication group. While the key is claimed, other requests with it are
// rejected. A claim is settled when the outcome of its request is recorded; a request
// that was not run releases its claim instead.
package entry
