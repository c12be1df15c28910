package route

import (
	"time"

	"guavarail/core/model"
)

const (
	// announceLife is how long a server takes requests after its last
	// announcement. With 200 ms of batching it stays under the 3 s of P8.
	announceLife = 2500 * time.Millisecond
	// tombstoneLife is the longest time that a leaving server can still run
	// requests and announce itself by mistake; a new start has a new incarnation.
	tombstoneLife = 10 * time.Minute
	// unnumberedLife is the same for servers that announce no incarnation. It
	// covers announcements that were under way between VMs, and then the server
	// may come back.
	unnumberedLife = 5 * time.Second

	ejectAfter = 5
	ejectFirst = time.Second
	ejectMost  = 30 * time.Second
)

// server is a backend server in the table.
type server struct {
	backend Backend
	worker  *worker
	// heard is when the last announcement reached the first entry VM.
	heard model.Instant
	// leaving servers get no new request and are removed when inFlight is 0.
	leaving  bool
	inFlight int
	latency  average
	tail     window
	// failures counts consecutive failures; ejections doubles the next ejection.
	failures     int
	ejections    int
	ejected      bool
	ejectedUntil model.Instant
	// slot is the position in the free list of its service, -1 when absent.
	slot int
}

// worker counts the slots of one worker that this VM uses.
type worker struct {
	id      model.WorkerID
	slots   int
	servers []*server
	limit   int
	version uint64
	// until ends the lease of the credits; it is nil for a static share.
	until *model.Instant
	// inUse is at most the limit at each dispatch. It exceeds the limit only
	// after the limit was lowered.
	inUse int
	// told is the last usage reported.
	told Usage
	// extra is the number of slots wanted beyond those in use.
	extra int
}

func (wo *worker) valid(now model.Instant) bool { return wo.until == nil || now.Before(*wo.until) }

func (wo *worker) free(now model.Instant) bool {
	return wo.inUse < wo.limit && wo.valid(now)
}

func (se *server) alive(now model.Instant) bool {
	return !se.leaving && now.Sub(se.heard) < announceLife
}

func (se *server) usable(now model.Instant) bool {
	if !se.alive(now) || se.ejected || !se.worker.free(now) {
		return false
	}
	return se.backend.Connections() == 0 || se.inFlight < se.backend.Connections()
}

// load is lower for the better choice: requests in flight weighted by latency.
func (se *server) load(now model.Instant) float64 {
	return float64(se.inFlight+1) * se.latency.at(now, float64(time.Millisecond))
}

// service is what the machine holds for one service.
type service[K comparable] struct {
	id      model.ServiceID
	servers []*server
	// free lists the servers that were usable when last looked at.
	free    []*server
	queue   queue[K]
	hold    average
	running int
	ejected int
	// retried is the used part of the retry budget in tenths of a request, at
	// most retryBound.
	retried int
}

// refresh puts se into the free list or takes it out.
func (sv *service[K]) refresh(now model.Instant, se *server) {
	if use := se.usable(now); use == (se.slot >= 0) {
		return
	} else if use {
		se.slot = len(sv.free)
		sv.free = append(sv.free, se)
		return
	}
	last := sv.free[len(sv.free)-1]
	sv.free[se.slot] = last
	last.slot = se.slot
	sv.free = sv.free[:len(sv.free)-1]
	se.slot = -1
}

func (sv *service[K]) remove(se *server) {
	for i, other := range sv.servers {
		if other == se {
			sv.servers = append(sv.servers[:i], sv.servers[i+1:]...)
			return
		}
	}
}

// credits returns the slots that this VM may use for the service now.
func (sv *service[K]) credits(now model.Instant) int {
	sum := 0
	for _, se := range sv.servers {
		if se.alive(now) && se.worker.valid(now) {
			sum += se.worker.limit
		}
	}
	return sum
}

// result records a success or failure of se and reports whether it was ejected.
func (sv *service[K]) result(now model.Instant, se *server, ok bool) bool {
	if ok {
		se.failures, se.ejections = 0, 0
		return false
	}
	se.failures++
	if se.failures < ejectAfter || se.ejected || se.leaving || 2*(sv.ejected+1) > len(sv.servers) {
		return false
	}
	se.ejected = true
	sv.ejected++
	se.ejectedUntil = now.Add(min(ejectFirst<<min(se.ejections, 5), ejectMost))
	se.ejections++
	return true
}

func (sv *service[K]) readmit(se *server) {
	if se.ejected {
		se.ejected = false
		se.failures = 0
		sv.ejected--
	}
}
