package rest

// BackendAnnounce is the body of POST /v1/backends/announce, sent every second.
type BackendAnnounce struct {
	Backend string `json:"backend"`
	Service string `json:"service"`
	Worker  string `json:"worker"`
	// Address is the IP address and port for requests.
	Address string `json:"address"`
	// Slots and Connections default to the limits in the settings.
	Slots       int `json:"slots,omitempty"`
	Connections int `json:"connections,omitempty"`
	// Incarnation grows with each start of the backend server, so that a
	// late message of an earlier one is ignored.
	Incarnation uint64 `json:"incarnation"`
}

// BackendAnnounced answers an announcement.
type BackendAnnounced struct {
	// NextMs is when to announce again.
	NextMs int64 `json:"nextMs"`
}

// BackendLeave is the body of POST /v1/backends/leave.
type BackendLeave struct {
	Backend     string `json:"backend"`
	Incarnation uint64 `json:"incarnation"`
}

// BackendLeft answers a leave message.
type BackendLeft struct {
	// StopAfterMs is when no new request arrives any more.
	StopAfterMs int64 `json:"stopAfterMs"`
}
