package route

import (
	"time"

	"guavarail/core/model"
)

const (
	// announceTTL is how long a server gets requests after its last
	// announcement. Together with 200 ms of batching it stays under the 3 s of
	// invariant P8: a leaving server gets no new requests.
	announceTTL = 2500 * time.Millisecond
	// tombstoneTTL is the longest time for which a leaving server can still run
	// requests and announce itself by mistake. A restarted server is accepted
	// within that time, since it has a new incarnation.
	tombstoneTTL = 10 * time.Minute
	// unnumberedTombstoneTTL is the same for servers that announce no
	// incarnation. It covers announcements still in transit between VMs; after
	// it, the server may be added again.
	unnumberedTombstoneTTL = 5 * time.Second

	// ejectFailures is the number of consecutive failures that eject a server.
	ejectFailures = 5
	// The first ejection lasts minEjection. Each further one lasts twice as long,
	// up to maxEjection, until a request succeeds.
	minEjection = time.Second
	maxEjection = 30 * time.Second
)

// server is the record of one backend server.
type server struct {
	backend Backend
	worker  *worker
	// announcedAt is when the last announcement reached the first entry VM that
	// received it.
	announcedAt model.Instant
	// leaving servers get no new request and are removed when inFlight is 0.
	leaving  bool
	inUse int
	// meanLatency weights the load of the server; latencies gives its tail latency.
	meanLatency average
	latencies   latencyWindow
	// failures counts consecutive failures, ejections the ejections since the
	// last success.
	failures     int
	ejections    int
	ejected      bool
	ejectedUntil model.Instant
	// availableIndex is the index in service.available, -1 when absent.
	availableIndex int
}

// worker is what this VM knows of one worker: its slots, the credits that the
// VM holds for it and the slots that the VM uses.
type worker struct {
	id      model.WorkerID
	slots   int
	servers []*server
	// limit is the number of slots that this VM may use, by the Credits with the
	// given version.
	limit   int
	version uint64
	// leaseEnd is when the credits expire; it is nil for a static share.
	leaseEnd *model.Instant
	// inUse is at most the limit at each dispatch. It exceeds the limit only
	// after the limit was lowered.
	inUse int
	// lastUsage is the last Usage emitted.
	lastUsage Usage
	// extraWanted is the number of slots wanted in addition to those in use.
	extraWanted int
}

func (wo *worker) leaseValid(now model.Instant) bool {
	return wo.leaseEnd == nil || now.Before(*wo.leaseEnd)
}

// hasFreeCredit reports whether the VM may use another slot of the worker.
func (wo *worker) hasFreeCredit(now model.Instant) bool {
	return wo.inUse < wo.limit && wo.leaseValid(now)
}

// alive reports whether the server is not leaving and was announced recently.
func (se *server) alive(now model.Instant) bool {
	return !se.leaving && now.Sub(se.announcedAt) < announceTTL
}

// usable reports whether the server can get a request now.
func (se *server) usable(now model.Instant) bool {
	if !se.alive(now) || se.ejected || !se.worker.hasFreeCredit(now) {
		return false
	}
	return se.backend.Connections() == 0 || se.inUse < se.backend.Connections()
}

// load returns the requests in flight, including the next one, weighted by
// latency. Lower is better.
func (se *server) load(now model.Instant) float64 {
	return float64(se.inUse+1) * se.meanLatency.decayed(now, float64(time.Millisecond))
}

// service is the state of one service: its servers, its queue and its statistics.
type service[K comparable] struct {
	id      model.ServiceID
	servers []*server
	// available lists the servers that were usable at the last updateAvailable.
	available []*server
	queue     queue[K]
	// slotTime is the mean time for which a request holds a slot.
	slotTime average
	// inUse counts the requests that hold a slot.
	inUse      int
	ejectedCount int
	// retrySpent is the used part of the retry budget in tenths of a request, at
	// most retryBudget.
	retrySpent int
}

// updateAvailable adds se to the available servers or removes it from them,
// depending on whether it is usable.
func (sv *service[K]) updateAvailable(now model.Instant, se *server) {
	if use := se.usable(now); use == (se.availableIndex >= 0) {
		return
	} else if use {
		se.availableIndex = len(sv.available)
		sv.available = append(sv.available, se)
		return
	}
	last := sv.available[len(sv.available)-1]
	sv.available[se.availableIndex] = last
	last.availableIndex = se.availableIndex
	sv.available = sv.available[:len(sv.available)-1]
	se.availableIndex = -1
}

func (sv *service[K]) remove(se *server) {
	for i, other := range sv.servers {
		if other == se {
			sv.servers = append(sv.servers[:i], sv.servers[i+1:]...)
			return
		}
	}
}

// totalCredits returns the number of slots that this VM may use for the service
// now.
func (sv *service[K]) totalCredits(now model.Instant) int {
	sum := 0
	for _, se := range sv.servers {
		if se.alive(now) && se.worker.leaseValid(now) {
			sum += se.worker.limit
		}
	}
	return sum
}

// countOutcome counts a success or failure of se and reports whether it ejected
// se. At most half of the servers of a service are ejected at a time.
func (sv *service[K]) countOutcome(now model.Instant, se *server, ok bool) bool {
	if ok {
		se.failures, se.ejections = 0, 0
		return false
	}
	se.failures++
	if se.failures < ejectFailures || se.ejected || se.leaving || 2*(sv.ejectedCount+1) > len(sv.servers) {
		return false
	}
	se.ejected = true
	sv.ejectedCount++
	se.ejectedUntil = now.Add(min(minEjection<<min(se.ejections, 5), maxEjection))
	se.ejections++
	return true
}

// readmit ends the ejection of se, if it is ejected.
func (sv *service[K]) readmit(se *server) {
	if se.ejected {
		se.ejected = false
		se.failures = 0
		sv.ejectedCount--
	}
}
