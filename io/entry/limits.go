package entry

import "time"

// Limits bounds the resources that callers and backend servers can use. A field
// that is 0 means the default.
type Limits struct {
	// HeaderBytes bounds the request line and headers of a request.
	HeaderBytes int
	// BodyBytes bounds a request body.
	BodyBytes int64
	// ResponseHeaderBytes bounds the headers of a backend server's response.
	ResponseHeaderBytes int64
	// Connections bounds the open connections of callers.
	Connections int
	// HeaderTimeout bounds the reading of the request headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection of a caller may be open without a
	// request.
	IdleTimeout time.Duration
	// StallTimeout bounds how long a write of the response may wait for the caller
	// to read.
	StallTimeout time.Duration
	// DialTimeout bounds the connection set-up to a backend server.
	DialTimeout time.Duration
	// ClaimTimeout bounds the call that claims or settles an idempotency key.
	ClaimTimeout time.Duration
	// IdleBackendConnections bounds the idle connections to one backend server.
	// The default of 8 suits 8 slots per worker: with 7 entry VMs the sum stays
	// under the 60 connections that a backend server accepts.
	IdleBackendConnections int
}

func (li Limits) withDefaults() Limits {
	return Limits{
		HeaderBytes:            orDefault(li.HeaderBytes, 64<<10),
		BodyBytes:              orDefault(li.BodyBytes, 64<<20),
		ResponseHeaderBytes:    orDefault(li.ResponseHeaderBytes, 256<<10),
		Connections:            orDefault(li.Connections, 20000),
		HeaderTimeout:          orDefault(li.HeaderTimeout, 10*time.Second),
		IdleTimeout:            orDefault(li.IdleTimeout, 90*time.Second),
		StallTimeout:           orDefault(li.StallTimeout, 10*time.Second),
		DialTimeout:            orDefault(li.DialTimeout, time.Second),
		ClaimTimeout:           orDefault(li.ClaimTimeout, 2*time.Second),
		IdleBackendConnections: orDefault(li.IdleBackendConnections, 8),
	}
}

// orDefault returns val, or def if val is the zero value.
func orDefault[T comparable](val, def T) T {
	var zero T
	if val == zero {
		return def
	}
	return val
}
