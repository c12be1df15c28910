// Package rest holds the JSON shapes of the HTTP API. io/admin serves them,
// and io/client, backend servers and workers use them. Keys are camel case;
// durations have the suffix Ms, sizes are thousandths of a processor and
// megabytes.
package rest

// Paths of the API.
const (
	PathWorkerReport    = "/v1/workers/report"
	PathBackendAnnounce = "/v1/backends/announce"
	PathBackendLeave    = "/v1/backends/leave"
	PathPresets         = "/v1/presets"
	PathCentres         = "/v1/centres"
	PathJobs            = "/v1/jobs"
	PathWorkers         = "/v1/workers"
	PathVMs             = "/v1/vms"
	PathStatus          = "/v1/status"
	PathEvents          = "/v1/events"
)
