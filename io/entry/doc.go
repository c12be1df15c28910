// Package entry is the HTTP path of an entry VM: a net/http server for callers
// and an http.Transport to backend servers. Each handler goroutine asks the
// actor that owns the core/route machine for a backend server and a slot,
// sends the request, streams the response and reports the end, all by message.
package entry
