package rest

// BackendAnnounce is the body of POST /v1/backends/announce, by which a backend server
// announces itself every second.
type BackendAnnounce struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	Worker  string `json:"worker"`
	// Address is the IP address and port on which the backend server accepts
	// requests.
	Address string `json:"address"`
	// Slots is the number of requests that the worker runs at the same time, and
	// Connections the number of connections that the backend server accepts. If one
	// is 0, its limit in the settings applies.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Incarnation increases with each start of the backend server, so that a
	// late message of an earlier one is ignored.
	Incarnation uint64 `json:"incarnation"`
}

// BackendAnnounced answers an announcement.
type BackendAnnounced struct {
	// NextMs is the time until the next announcement is due.
	NextMs int64 `json:"nextMs"`
}

// BackendLeave is the body of POST /v1/backends/leave. A backend server sends it
// before it stops.
type BackendLeave struct {
	Backend     string `json:"backend"`
	Incarnation uint64 `json:"incarnation"`
}

// BackendLeft answers a leave message.
type BackendLeft struct {
	// StopAfterMs is the time after which no new request arrives.
	StopAfterMs int64 `json:"stopAfterMs"`
}
