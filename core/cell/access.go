package cell

import "guavarail/core/flow"

// Outcome is the result of the checks of a call on a queue.
type Outcome uint8

// The outcomes, in the order of the checks.
const (
	// NotConfigured means that there is no configuration yet.
	NotConfigured Outcome = iota
	// NoQueue means that the configuration has no such queue.
	NoQueue
	// KeyMissing and KeyUnknown mean that the queue needs a key which the call lacks, and
	// that the configuration has no such key.
	KeyMissing
	KeyUnknown
	// Granted means that the call is served.
	Granted
)

var outcomeNames = [...]string{"notConfigured", "noQueue", "keyMissing", "keyUnknown", "granted"}

// String returns the name for events and counters.
func (ou Outcome) String() string {
	if int(ou) < len(outcomeNames) {
		return outcomeNames[ou]
	}
	return "unknown"
}

// Access is the result of the checks of a call on a queue. The zero value is NotConfigured.
type Access struct {
	outcome Outcome
	// queue and rest are set from KeyMissing on.
	queue Queue
	rest  string
	// caller is set if outcome is Granted.
	caller flow.Caller
}

// Outcome returns the result.
func (ac Access) Outcome() Outcome { return ac.outcome }

// Queue returns the queue of the call.
func (ac Access) Queue() Queue { return ac.queue }

// Rest returns the part of the path after the prefix of the queue.
func (ac Access) Rest() string { return ac.rest }

// Caller returns who makes the call.
func (ac Access) Caller() flow.Caller { return ac.caller }

// Access checks a call on a queue by its host, path and key.
func (doc Document) Access(host, path, key string) Access {
	if doc.Version() == 0 {
		return Access{outcome: NotConfigured}
	}
	qu, rest, ok := doc.Find(host, path)
	if !ok {
		return Access{outcome: NoQueue}
	}
	ac := Access{outcome: Granted, queue: qu, rest: rest}
	name, ok := doc.Authenticate(qu, key)
	switch {
	case !ok && key == "":
		ac.outcome = KeyMissing
	case !ok:
		ac.outcome = KeyUnknown
	case doc.Keyed():
		ac.caller = flow.NewCaller(name)
	}
	return ac
}
