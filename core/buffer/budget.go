package buffer

import "container/list"

// Class is a kind of client.
type Class int

// Classes of clients.
const (
	// Callers submit jobs. They are not under our control.
	Callers Class = iota
	// Control is workers, operators, readiness checks and metrics.
	Control
	// VMs are the other VMs of the cell.
	VMs
	classes
)

// ID identifies a holder of memory, which is a connection or a message on one.
type ID uint64

// Config bounds what all holders have together. A bound that is 0 is not set.
type Config struct {
	// Memory is in bytes.
	Memory int64
	// Connections bounds the open connections of all classes, and PerAddress those of
	// callers from one address.
	Connections, PerAddress int
	// Deferred is set if memory that was released stays in use until it is collected: it
	// then counts until EndCollection.
	Deferred bool
	// Claim is called before a holder is chosen to be closed; nil permits all.
	Claim Claim
}

// Claim reports whether a holder may be closed. It may not once its request has arrived as
// a whole, which must be impossible after Claim has returned true. If idle is set, a holder
// that has had a request since it was last asked may not be closed either, so that those
// without requests go first. The state of requests is kept outside of the budget because
// it changes with each request, and the budget only changes with connections and with
// requests that are not small.
type Claim func(id ID, idle bool) bool

// BaseBytes is what an open connection holds without a request: the buffers, the
// goroutine and the objects of package http. SmallBytes of a head and SmallBytes of a body
// are part of it. LinkBytes is what a link to another VM holds instead: the goroutines, the
// actor and the state of the multiplexer.
const (
	BaseBytes  = 16 << 10
	SmallBytes = 4 << 10
	LinkBytes  = 64 << 10
)

// baseOf returns what a connection of a class holds without a request.
func baseOf(cl Class) int64 {
	if cl == VMs {
		return LinkBytes
	}
	return BaseBytes
}

// Verdict is the decision on a request for memory.
type Verdict int

const (
	// Granted means that the holder has the memory.
	Granted Verdict = iota
	// Waiting means that it gets the memory when enough has been released.
	Waiting
	// Refused means that it does not get the memory.
	Refused
)

// Budget is the memory of a process. Its zero value has no bounds. It is not safe for
// concurrent use.
type Budget struct {
	cfg     Config
	holders map[ID]*holder
	classes [classes]class
	// open is the number of connections, and closing the number of those that Reserve or
	// Open has chosen to be closed.
	open, closing int
	addresses     map[string]int
	// waiting has the holders with a wanted amount, in the order of their requests.
	waiting []*holder
}

// class is the state of one class.
type class struct {
	// held is the sum of what its holders have, and freeing the part of it whose holders
	// have been chosen to be closed. wanted is the sum of what its holders wait for.
	held, freeing, wanted int64
	// garbage is empty unless Config.Deferred is set.
	garbage garbage
	// open is the number of its connections, and closing that of those to be closed.
	open, closing int
	// heavy has the holders with more than their base, in the order in which they last got
	// memory. light has the others, in the order in which they joined it or evictLight
	// last passed over them.
	heavy, light list.List
}

// listOf returns the list that has a holder.
func (cl *class) listOf(ho *holder) *list.List {
	if ho.heavy {
		return &cl.heavy
	}
	return &cl.light
}

// holder is a holder of memory. The element is in the list of its class that matches
// held.
type holder struct {
	id    ID
	class Class
	// address is empty if the connections of its address are not bounded.
	address string
	// connection is false for a message.
	connection bool
	held       int64
	// base is what the holder may hold without being heavy.
	base int64
	// wanted is the amount that the holder waits for, 0 if it does not wait.
	wanted int64
	// closing is set once the holder has been chosen to be closed.
	closing bool
	// heavy is set if element is in class.heavy.
	heavy   bool
	element *list.Element
}

// New returns a budget.
func New(cfg Config) *Budget { return &Budget{cfg: cfg} }

// Held returns the memory that all holders have.
func (bu *Budget) Held() int64 { return bu.heldBy(Callers) + bu.heldBy(Control) + bu.heldBy(VMs) }

// Open returns the number of open connections.
func (bu *Budget) Open() int { return bu.open }

// heldBy returns the memory that the holders of a class have.
func (bu *Budget) heldBy(cl Class) int64 { return bu.classes[cl].held }

// Connect adds a connection. It returns false if the connection must be closed, and
// otherwise the connections that must be closed to make room.
func (bu *Budget) Connect(id ID, cl Class, address string) ([]ID, bool) {
	if cl != Callers || bu.cfg.PerAddress == 0 {
		address = ""
	}
	if address != "" && bu.addresses[address] >= bu.cfg.PerAddress {
		return nil, false
	}
	closes, ok := bu.freeSlot(cl)
	if !ok {
		return closes, false
	}
	more, ok := bu.freeBase(cl)
	closes = append(closes, more...)
	if !ok {
		return closes, false
	}
	if address != "" {
		if bu.addresses == nil {
			bu.addresses = map[string]int{}
		}
		bu.addresses[address]++
	}
	bu.open++
	bu.classes[cl].open++
	bu.add(&holder{id: id, class: cl, address: address, connection: true, held: baseOf(cl), base: baseOf(cl)})
	return closes, true
}

// Enter adds a message, which holds nothing yet.
func (bu *Budget) Enter(id ID, cl Class) { bu.add(&holder{id: id, class: cl, base: BaseBytes}) }

// add adds a holder to its class.
func (bu *Budget) add(ho *holder) {
	if bu.holders == nil {
		bu.holders = map[ID]*holder{}
	}
	bu.holders[ho.id] = ho
	cl := &bu.classes[ho.class]
	cl.held += ho.held
	ho.element = cl.light.PushBack(ho)
}

// Close removes a holder. It returns the holders that have got the memory that they wait
// for.
func (bu *Budget) Close(id ID) []ID {
	ho := bu.holders[id]
	if ho == nil {
		return nil
	}
	delete(bu.holders, id)
	bu.stopWaiting(ho)
	cl := &bu.classes[ho.class]
	cl.listOf(ho).Remove(ho.element)
	bu.released(cl, ho.held)
	if ho.closing {
		cl.freeing -= ho.held
	}
	if ho.connection {
		bu.disconnect(ho, cl)
	}
	return bu.grantWaiting()
}

// disconnect stops counting a connection.
func (bu *Budget) disconnect(ho *holder, cl *class) {
	bu.open--
	cl.open--
	if ho.closing {
		bu.closing--
		cl.closing--
	}
	if ho.address == "" {
		return
	}
	if bu.addresses[ho.address]--; bu.addresses[ho.address] == 0 {
		delete(bu.addresses, ho.address)
	}
}

// Closing reports whether a holder has been chosen to be closed, or is unknown.
func (bu *Budget) Closing(id ID) bool {
	ho := bu.holders[id]
	return ho == nil || ho.closing
}
