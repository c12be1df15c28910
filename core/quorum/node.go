package quorum

import (
	"cmp"
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// standing is the part that a replica plays in the current term.
type standing uint8

const (
	follower standing = iota
	// preCandidate asks whether an election could be won, without a new term.
	preCandidate
	candidate
	leader
)

// foundingEntries is the number of configurations at the start of a log that
// name the first voters.
const foundingEntries = 2

// placed is a configuration with the entry that set it.
type placed struct {
	index   uint64
	members Members
}

// Node is one replica of a group. The zero value is a group of one without a
// name. A Node is driven by Step only and must not be copied after that.
type Node struct {
	cfg     Config
	started bool
	rnd     source
	now     model.Instant

	term uint64
	vote model.VMID
	log  window[Entry]
	// logTerm is the term of the entry at log.base.
	logTerm uint64
	snap    Snapshot
	// configs is never empty after the start; only the last may be
	// uncommitted.
	configs []placed
	// commit and applied are equal after each step.
	commit uint64

	standing standing
	leader   model.VMID
	// heard is when a leader was heard of last. Votes are refused for
	// ElectionShortest after it.
	heard    model.Instant
	heardAny bool
	deadline model.Instant
	// verified is the last entry known to be in the current leader's log.
	verified uint64
	// lastSent is the send time of the leader's last round, on its clock.
	lastSent model.Instant
	campaign campaign
	lead     lead
	// known holds the highest committed index that each voter's disk has
	// acknowledged, as far as this replica was told.
	known map[DiskID]uint64
	// disowned is set when the group knows this VM with another disk. The
	// replica then waits for an operator to replace the voter.
	disowned bool
	// foreign is the last disk that posed as a member with another disk.
	foreign  DiskID
	incoming incoming
	saving   bool
	// logBytes is the size of the entries applied since the snapshot.
	logBytes int
	// failed stops the replica.
	failed error
	// muted keeps it from voting, acknowledging and writing; it still follows
	// the leader, so that its VM acts on the newest state.
	muted error

	// seq numbers writes; those up to synced are on disk.
	seq       uint64
	synced    uint64
	flights   []flight
	durable   uint64
	dirtyHard bool
	// dirtyFrom is the first entry to be written, or 0.
	dirtyFrom uint64
	held      []heldMessage
	role      Role
	effs      []Effect
}

// NewNode returns a replica that continues from what its store held.
func NewNode(cfg Config) *Node { return &Node{cfg: cfg} }

// Step handles one input at the given time.
func (n *Node) Step(now model.Instant, in Input) []Effect {
	n.now = max(now, n.now)
	if !n.started {
		n.start()
	}
	n.handle(in)
	n.flush()
	if role := n.Role(n.now); role.changed(n.role) {
		n.role = role
		n.emit(RoleChanged{role: role})
	}
	effs := n.effs
	n.effs = nil
	return effs
}

// handle passes one input on. A replica that stopped refuses requests, because
// it does not lead, and ignores the rest.
func (n *Node) handle(in Input) {
	switch val := in.(type) {
	case Propose:
		n.onPropose(val.list)
	case Alter:
		n.onAlter(val)
	case Transfer:
		n.onTransfer(val)
	default:
		if n.failed == nil {
			n.handleEvent(in)
		}
	}
}

func (n *Node) handleEvent(in Input) {
	switch val := in.(type) {
	case Tick:
		n.onTick()
	case Receive:
		n.onMessage(val.msg.spec)
	case Persisted:
		n.onPersisted(val.seq)
	case SnapshotSaved:
		n.onSnapshotSaved(val.snap)
	case PieceStored:
		n.onPieceStored(val)
	case Halt:
		n.mute(val.cause)
	}
}

// start takes over the state of the store.
func (n *Node) start() {
	n.started = true
	n.cfg = n.cfg.withDefaults()
	n.rnd = newSource(n.cfg.Seed, n.cfg.Self)
	n.known = map[DiskID]uint64{}
	sv := n.cfg.Saved
	n.cfg.Saved = Saved{}
	n.term, n.vote, n.snap = sv.hard.term, sv.hard.vote, sv.snap
	n.log.reset(n.snap.index)
	n.logTerm, n.commit = n.snap.term, n.snap.index
	n.configs = []placed{{members: initialMembers(n.cfg.Voters, n.cfg.Learners)}}
	if n.snap.index > 0 {
		n.configs = []placed{{index: n.snap.membersIndex, members: n.snap.members}}
	}
	for _, ent := range sv.entries {
		n.addEntry(ent)
	}
	n.durable = n.log.last()
	// A disk that took part before may have supported a leader just before the
	// restart, so it counts as having heard from one now.
	n.heard, n.heardAny = n.now, n.term > 0 || n.log.last() > 0
	n.resetDeadline()
	if n.aloneSinceFounding() {
		// No other VM ever was a voter, so none can hold a lease.
		n.deadline, n.heardAny = n.now, false
	}
}

// aloneSinceFounding reports whether no other VM was a voter of the group. An
// empty disk in a group with learners may have lost a log in which one was
// promoted, so it first waits for messages of such a voter.
func (n *Node) aloneSinceFounding() bool {
	cur := n.configs[len(n.configs)-1]
	return cur.members.only(n.cfg.Self) && cur.index <= foundingEntries && (cur.index > 0 || len(cur.members.list) == 1)
}

// members returns the newest configuration, committed or not.
func (n *Node) members() Members { return n.configs[len(n.configs)-1].members }

// quorum returns how many voters must agree. All must until the disks of the
// first voters are known to all of them: before that, an emptied disk cannot
// be told from a new one.
func (n *Node) quorum() int {
	mems := n.members()
	count := len(mems.voters())
	if !mems.bound() || mems.founding {
		return count
	}
	return majority(count)
}

func (n *Node) isVoter() bool { return n.members().isVoter(n.cfg.Self, n.cfg.Disk) }

func (n *Node) resetDeadline() { n.deadline = n.now.Add(n.rnd.electionTimeout()) }

func (n *Node) emit(eff Effect) { n.effs = append(n.effs, eff) }

func (n *Node) report(kind event.Kind, vm model.VMID, fis ...event.Field) {
	n.emit(Report{event: event.New(kind, event.Subject{VM: vm}, fis...)})
}

// fail stops a replica whose log cannot be trusted until it is restarted.
func (n *Node) fail(cause error) {
	n.mute(cause)
	n.failed, n.leader = cause, ""
}

// mute takes the replica out of votes and acknowledgements until it is
// restarted.
func (n *Node) mute(cause error) {
	if n.muted != nil {
		return
	}
	n.stepDown()
	n.muted = cause
	n.report("replicaFailed", n.cfg.Self, event.NewField("reason", cause.Error()))
}

// Err returns why the replica stopped voting and acknowledging, or nil.
func (n *Node) Err() error { return cmp.Or(n.failed, n.muted) }

// Members returns the newest configuration.
func (n *Node) Members() Members {
	if !n.started {
		cfg := n.cfg.withDefaults()
		return initialMembers(cfg.Voters, cfg.Learners)
	}
	return n.members()
}

// Commit returns the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Role returns the role of the replica at the given time.
func (n *Node) Role(now model.Instant) Role {
	ro := Role{term: n.term, leader: n.leader, applied: n.commit, failed: n.Err() != nil}
	last, ok := n.termAt(n.commit)
	ro.current = ok && last == n.term && n.leader != ""
	if n.standing == leader {
		ro.leading = true
		if ro.leased = n.leased(now); ro.leased {
			ro.leasedUntil = n.confirmed(now).Add(Lease)
		}
	}
	return ro
}

// changed reports whether more than the applied index and the end of the lease
// differ.
func (ro Role) changed(old Role) bool {
	ro.applied, old.applied = 0, 0
	ro.leasedUntil, old.leasedUntil = 0, 0
	return ro != old
}

// since returns the time from at to now.
func (n *Node) since(at model.Instant) time.Duration { return n.now.Sub(at) }
