package route

import (
	"time"

	"guavarail/core/model"
)

const (
	// announceTTL is how long a server gets requests after its last
	// announcement. A server that stops announcing itself must get no new request
	// after 3 s (P8: a leaving server gets no new requests). That time includes
	// 200 ms for which an entry VM may hold an announcement to batch it with
	// others for the other VMs.
	announceTTL = 2500 * time.Millisecond
	// tombstoneTTL is how long a tombstone lasts: the longest time for which a
	// server that left can still run requests and announce itself by mistake. A
	// server that starts again is accepted within that time, since it has a new
	// incarnation.
	tombstoneTTL = 10 * time.Minute
	// unnumberedTombstoneTTL is how long a tombstone lasts for a server that
	// announces no incarnation. It covers announcements still in transit between
	// VMs; after it, the server may be added again.
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
	// announcedAt is when any entry VM first received the latest announcement, by
	// the clock of this VM.
	announcedAt model.Instant
	// leaving means that the server left, stopped announcing itself or changed its
	// service or worker. It gets no new request and is removed when inUse is 0.
	leaving bool
	// inUse counts the requests of this VM that hold a slot on the server.
	inUse int
	// meanLatency is a factor of the load of the server; latencies gives its tail
	// latency.
	meanLatency average
	latencies   latencyWindow
	// failures counts the consecutive failures since the end of the last ejection,
	// ejections the ejections since the last success.
	failures     int
	ejections    int
	ejected      bool
	ejectedUntil model.Instant
	// availableIndex is the index in service.available, or -1 if the server is not
	// in it.
	availableIndex int
}

// worker is the record of one worker.
type worker struct {
	id model.WorkerID
	// slots is the total number of slots, as the last announcement had it.
	slots   int
	servers []*server
	// limit is the number of slots that this VM may use, by a static share or by
	// the Credits with the given version.
	limit   int
	version uint64
	// leaseEnd points to Machine.leaseEnd, when the credits expire; it is nil for
	// a static share, which never expires.
	leaseEnd *model.Instant
	// inUse counts the requests of this VM that hold a slot on the worker. It
	// exceeds the limit only after the limit was lowered.
	inUse int
	// lastUsage is the last Usage emitted.
	lastUsage Usage
	// extraWanted is the number of credits wanted in addition to those in use.
	extraWanted int
}

// leaseValid reports whether the VM may use its limit now.
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

// usable reports whether the server can get a request now: it is alive and not
// ejected, and a credit of its worker and a connection are free.
func (se *server) usable(now model.Instant) bool {
	if !se.alive(now) || se.ejected || !se.worker.hasFreeCredit(now) {
		return false
	}
	return se.backend.Connections() == 0 || se.inUse < se.backend.Connections()
}

// load returns the slots in use plus one for the next request, times the mean
// latency in nanoseconds, which is 1 ms without samples.
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
	// slotTime is the mean time for which an answered request held its slot.
	slotTime average
	// inUse counts the requests that hold a slot.
	inUse int
	// ejectedCount counts the ejected servers.
	ejectedCount int
	// retrySpent is the used part of the retry budget in tenths of a retry, at
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

// totalCredits returns the sum of the slots that this VM may use on the workers
// of all alive servers of the service. A worker counts once for each of these
// servers.
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
// se. It ejects at most half of the servers of a service at a time.
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

// anyAlive reports whether any server of the service is alive, also if it has no
// free slot.
func (sv *service[K]) anyAlive(now model.Instant) bool {
	if len(sv.available) > 0 && sv.available[0].alive(now) {
		return true
	}
	for _, se := range sv.servers {
		if se.alive(now) {
			return true
		}
	}
	return false
}

// tooLate reports whether req can no longer meet its deadline. It assumes that
// req takes half the mean slot time, since most requests are shorter than the
// mean. While no request of the service holds a slot, the mean may be out of
// date: then only a request past its deadline is too late, and the next one that
// runs gives a new sample.
func (sv *service[K]) tooLate(now model.Instant, req *request[K]) bool {
	need := time.Duration(0)
	if sv.inUse > 0 {
		need = time.Duration(sv.slotTime.decayed(now, 0) / 2)
	}
	return !now.Add(need).Before(req.deadline)
}

// quantum returns the slot time that a caller gets in one round of the queue:
// the mean slot time of the service, 1 ms without samples.
func (sv *service[K]) quantum(now model.Instant) time.Duration {
	return time.Duration(sv.slotTime.decayed(now, float64(time.Millisecond)))
}

func orDefault(dur, def time.Duration) time.Duration {
	if dur == 0 {
		return def
	}
	return dur
}
