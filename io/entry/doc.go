// Package entry implements the HTTP request path of an entry VM: a net/http
// server for callers and an http.Transport to backend servers. Each handler
// goroutine asks the actor that owns the core/route state machine for a backend
// server and a slot, sends the request, streams the response and reports the
// end. Handlers and actor share no state and communicate by messages.
package entry
