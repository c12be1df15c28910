// Package rest defines the JSON bodies of the HTTP API. io/admin serves it;
// io/client, backend servers and workers call it. Keys are in camel case. Durations
// are in milliseconds and have the suffix Ms. Processors are counted in thousandths
// of a processor and memory in megabytes.
//
// A job consists of identical tasks; an attempt is one run of a task on a worker. A
// slot is a worker's capacity for one request at a time.
//
// An operator command changes the configuration of the system: the presets and which
// one is active, the data centres in service, and the VMs. Each accepted command has
// the next configuration number.
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
