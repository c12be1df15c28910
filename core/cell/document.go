// Package cell holds the replicated state of a cell, a group of data centres
// that share one log: the configuration document, the data centres that are out
// of service, and the jobs of package flow.
package cell

import (
	"strconv"
	"strings"
	"time"
	"unicode/utf8"

	"guavarail/core/model"
)

// Queue is the part of the configuration that accepts the jobs which are
// submitted to a host and a path prefix. The zero value is not valid.
type Queue struct {
	spec QueueSpec
}

// QueueSpec is the input of NewQueue.
type QueueSpec struct {
	// Name is unique in a document, or empty.
	Name string
	// Host and Prefix, which begins with "/", are unique as a pair.
	Host   string
	Prefix string
	// Service is the pool of workers that run the jobs.
	Service model.ServiceID
	// Timeout bounds a call to the queue. It is greater than 0.
	Timeout time.Duration
	// Priority orders the jobs of different queues; 0 is the highest priority.
	Priority int
	// MaxFailures is the number of failures of one task that ends its job; 0
	// means no bound.
	MaxFailures int
	// The objective of a job, the time within which it should complete after it
	// is due, is ObjectiveFactor times the declared duration of its longest
	// chain of steps, plus ObjectiveBase.
	ObjectiveFactor float64
	ObjectiveBase   time.Duration
	// Public queues accept calls without a key.
	Public bool
}

// NewQueue returns a queue. NewDocument validates it.
func NewQueue(spec QueueSpec) Queue { return Queue{spec: spec} }

// Spec returns the specification of the queue.
func (qu Queue) Spec() QueueSpec { return qu.spec }

// Key identifies the queue, whatever its name: it stays the same for as long as the queue
// has its host and prefix.
func (qu Queue) Key() string { return strings.ToLower(qu.spec.Host) + qu.spec.Prefix }

// jobKeys returns what jobs of the queue carry: its key or, from an earlier version of the
// program, its name. A name with a slash is left out, because it may be the key of another
// queue.
func (qu Queue) jobKeys() []string {
	if name := qu.spec.Name; name != "" && !strings.Contains(name, "/") {
		return []string{qu.Key(), name}
	}
	return []string{qu.Key()}
}

// Service is a named pool of workers.
type Service struct {
	name model.ServiceID
	// guarded is set if the workers reject tasks for which they lack resources.
	guarded bool
}

// NewService returns a service; for guarded, see Service.Guarded.
func NewService(name model.ServiceID, guarded bool) Service {
	return Service{name: name, guarded: guarded}
}

// Name returns the name of the service.
func (ser Service) Name() model.ServiceID { return ser.name }

// Guarded reports whether the workers reject tasks for which they lack
// resources.
func (ser Service) Guarded() bool { return ser.guarded }

// DocumentSpec is the input of NewDocument.
type DocumentSpec struct {
	// Version is 1 or more; the document with the highest version is in effect.
	Version uint64
	// Text is the document as the operator sent it. Reads return it unchanged.
	Text     []byte
	Queues   []Queue
	Services []Service
	// Workspaces are the customers whose keys authenticate calls. Keyed is set if calls
	// need a key, unless their queue is public.
	Workspaces []Workspace
	Keyed      bool
	// Limits bound a single request of a caller.
	Limits Limits
}

// Document is a complete configuration that NewDocument has validated. The zero
// value, version 0, stands for no configuration.
type Document struct {
	spec DocumentSpec
	// keys has the workspace of each key.
	keys map[string]model.WorkspaceID
}

// DocumentError reports all faults of a document.
type DocumentError struct {
	faults []model.Fault
}

// Faults returns the faults of the version, then those of the services, of the queues,
// of the workspaces and of the limits, each in the order of the document.
func (err *DocumentError) Faults() []model.Fault { return append([]model.Fault(nil), err.faults...) }

// Error lists every fault.
func (err *DocumentError) Error() string {
	out := make([]string, 0, len(err.faults))
	for _, fa := range err.faults {
		out = append(out, fa.Field()+": use "+fa.Allowed())
	}
	return "configuration not accepted: " + strings.Join(out, "; ")
}

// NewDocument validates spec as a whole, and returns a DocumentError with every
// fault if it is invalid.
func NewDocument(spec DocumentSpec) (Document, error) {
	var fas []model.Fault
	rejectIf := func(bad bool, field, allowed string) {
		if bad {
			fas = append(fas, model.NewFault(field, allowed))
		}
	}
	rejectIf(spec.Version == 0, "version", "1 or more")
	services := map[model.ServiceID]bool{}
	for pos, ser := range spec.Services {
		name := "services." + strconv.Itoa(pos)
		rejectIf(ser.name == "" || !utf8.ValidString(string(ser.name)), name+".name", "a name in UTF-8")
		rejectIf(services[ser.name], name+".name", "each service once")
		services[ser.name] = true
	}
	type address struct{ host, prefix string }
	addresses := map[address]bool{}
	names := map[string]bool{}
	for pos, qu := range spec.Queues {
		name := "queues." + strconv.Itoa(pos)
		adr := address{host: strings.ToLower(qu.spec.Host), prefix: qu.spec.Prefix}
		rejectIf(qu.spec.Host == "" || !utf8.ValidString(qu.spec.Host), name+".host", "a host in UTF-8")
		rejectIf(!strings.HasPrefix(qu.spec.Prefix, "/") || !utf8.ValidString(qu.spec.Prefix), name+".prefix", "a path in UTF-8")
		rejectIf(qu.spec.Name != "" && names[qu.spec.Name], name+".name", "each name once")
		rejectIf(!utf8.ValidString(qu.spec.Name), name+".name", "UTF-8")
		rejectIf(!services[qu.spec.Service], name+".service", "a service of the document")
		rejectIf(addresses[adr], name+".prefix", "each host and prefix once")
		rejectIf(qu.spec.Timeout <= 0, name+".timeout", "more than 0")
		rejectIf(qu.spec.MaxFailures < 0 || qu.spec.ObjectiveFactor < 0 || qu.spec.ObjectiveBase < 0, name, "amounts of 0 or more")
		addresses[adr], names[qu.spec.Name] = true, true
	}
	checkWorkspaces(spec, rejectIf)
	spec.Limits.check(rejectIf)
	if len(fas) > 0 {
		return Document{}, &DocumentError{faults: fas}
	}
	return Document{spec: spec, keys: keysOf(spec.Workspaces)}, nil
}

// Version returns the version of the document; 0 means no configuration.
func (doc Document) Version() uint64 { return doc.spec.Version }

// Text returns the document as it was sent.
func (doc Document) Text() []byte { return doc.spec.Text }

// Queues returns the queues in the order of the document.
func (doc Document) Queues() []Queue { return append([]Queue(nil), doc.spec.Queues...) }

// servicesByQueue returns the service of each queue, by what its jobs carry.
func (doc Document) servicesByQueue() map[string]model.ServiceID {
	out := map[string]model.ServiceID{}
	for _, qu := range doc.spec.Queues {
		for _, key := range qu.jobKeys() {
			out[key] = qu.spec.Service
		}
	}
	return out
}

// Services returns the services in the order of the document.
func (doc Document) Services() []Service { return append([]Service(nil), doc.spec.Services...) }

// Find returns the queue of host with the longest prefix that path begins with,
// and the rest of the path; it returns false if there is none. The host is
// compared without regard to case.
func (doc Document) Find(host, path string) (Queue, string, bool) {
	var best Queue
	found := false
	for _, qu := range doc.spec.Queues {
		if !strings.EqualFold(qu.spec.Host, host) || !strings.HasPrefix(path, qu.spec.Prefix) {
			continue
		}
		if !found || len(qu.spec.Prefix) > len(best.spec.Prefix) {
			best, found = qu, true
		}
	}
	if !found {
		return Queue{}, "", false
	}
	return best, path[len(best.spec.Prefix):], true
}
