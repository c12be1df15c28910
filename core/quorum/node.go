package quorum

import (
	"cmp"
	"time"

	"guavarail/core/event"
	"guavarail/core/model"
)

// nodeState is the Raft state of a replica in the current term.
type nodeState uint8

const (
	// follower is also the state of a learner.
	follower nodeState = iota
	// preCandidate asks the voters whether it could win an election before it
	// increments its term.
	preCandidate
	candidate
	leader
)

// bootstrapEntries is the number of entries that the bootstrap appends at the
// start of a log: the configuration with the disks of the initial voters, first
// with the bootstrap flag and then without.
const bootstrapEntries = 2

// indexedConfig is a configuration with the index of the entry that set it, or
// 0 if it comes from Config.
type indexedConfig struct {
	index   uint64
	members Members
}

// Node is the Raft state machine of one replica. Its zero value is the only
// voter of a group and has an empty VM name. It is not safe for concurrent use
// and must not be copied after the first Step.
type Node struct {
	cfg     Config
	started bool
	rnd     splitMix
	// now is the latest local time passed to Step.
	now model.Instant

	term uint64
	// vote is the VM that this replica voted for in the term, or "".
	vote model.VMID
	log  window[Entry]
	// logTerm is the term of the entry at log.base.
	logTerm uint64
	// snap is the latest snapshot in the store.
	snap Snapshot
	// configs holds the configurations from that of the snapshot on. It is
	// never empty after start. All but the last one are in the log of every
	// later leader, although they may be uncommitted.
	configs []indexedConfig
	// commit is the index of the last committed entry. Step emits an Apply for
	// each entry up to it.
	commit uint64

	state nodeState
	// leader is the leader of the current term, or "" if it is unknown.
	leader model.VMID
	// lastLeaderContact is the time of the last message from a leader. Votes are
	// rejected for MinElectionTimeout after it.
	lastLeaderContact model.Instant
	// hadLeaderContact reports whether lastLeaderContact is set.
	hadLeaderContact bool
	// ledUntil is when this replica stepped down from its last leadership, or started.
	ledUntil model.Instant
	// electionDeadline is when a voter without a leader starts an election.
	electionDeadline model.Instant
	// matchIndex is the index of the last entry that is known to match the
	// current leader's log.
	matchIndex uint64
	// leaderSentAt is the send time, on the leader's clock, of the last message
	// from the leader.
	leaderSentAt model.Instant
	campaign     campaign
	leaderState  leaderState
	// diskAcks holds the index of the last committed entry that each voter's disk
	// is known to have acknowledged.
	diskAcks map[DiskID]uint64
	// diskMismatch is set if the configuration of the group lists this VM with
	// another disk. An operator must then replace the voter.
	diskMismatch bool
	// lastUnknownDisk is the last reported disk that differs from its member's
	// disk in the configuration.
	lastUnknownDisk  DiskID
	incomingSnapshot incomingSnapshot
	// savingSnapshot is set from TakeSnapshot until SnapshotSaved.
	savingSnapshot bool
	// logBytes is the size in bytes of the entries applied since the snapshot.
	logBytes int
	// fatalErr makes the replica ignore messages and reject requests until it is
	// restarted.
	fatalErr error
	// passiveErr makes the replica passive until it is restarted: it no longer
	// votes, acknowledges or writes. It still applies entries from the leader,
	// so that its VM has recent state.
	passiveErr error

	// seq is the number of the last write. Writes up to synced are on disk.
	seq           uint64
	synced        uint64
	pendingWrites []pendingWrite
	// durable is the index of the last log entry on disk.
	durable uint64
	// dirtyHardState is set if the next Persist must write a changed hard state.
	dirtyHardState bool
	// dirtyFrom is the index of the first entry that the next Persist writes,
	// or 0.
	dirtyFrom uint64
	// deferred holds messages to send once earlier writes are on disk.
	deferred []deferredMessage
	// role is the last role reported by RoleChanged.
	role Role
	// effs holds the effects of the current step.
	effs []Effect
}

// NewNode returns a replica that continues from the stored state in cfg.
func NewNode(cfg Config) *Node { return &Node{cfg: cfg} }

// Step handles one input at the given local time and returns the effects, which
// the owner must execute in order.
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

// handle dispatches one input. A replica with a fatal error still rejects
// requests, because it is not the leader, and ignores all other inputs.
func (n *Node) handle(in Input) {
	switch val := in.(type) {
	case Propose:
		n.onPropose(val.list)
	case ProposeChange:
		n.onProposeChange(val)
	case Transfer:
		n.onTransfer(val)
	default:
		if n.fatalErr == nil {
			n.handleNonRequest(in)
		}
	}
}

func (n *Node) handleNonRequest(in Input) {
	switch val := in.(type) {
	case Tick:
		n.onTick()
	case Receive:
		n.onMessage(val.msg.spec)
	case Persisted:
		n.onPersisted(val.seq)
	case SnapshotSaved:
		n.onSnapshotSaved(val.snap)
	case ChunkStored:
		n.onChunkStored(val)
	case Halt:
		n.becomePassive(val.cause)
	}
}

// start initializes the node from the stored state.
func (n *Node) start() {
	n.started = true
	n.cfg = n.cfg.withDefaults()
	n.rnd = newSplitMix(n.cfg.Seed, n.cfg.Self)
	n.diskAcks = map[DiskID]uint64{}
	ss := n.cfg.Stored
	n.cfg.Stored = StoredState{}
	n.term, n.vote, n.snap = ss.hardState.term, ss.hardState.vote, ss.snap
	n.log.reset(n.snap.index)
	n.logTerm, n.commit = n.snap.term, n.snap.index
	n.configs = []indexedConfig{{members: initialMembers(n.cfg.Voters, n.cfg.Learners)}}
	if n.snap.index > 0 {
		n.configs = []indexedConfig{{index: n.snap.membersIndex, members: n.snap.members}}
	}
	for _, ent := range ss.entries {
		n.addEntry(ent)
	}
	n.durable = n.log.last()
	// A replica that is not new may have acknowledged a leader just before the
	// restart, and that leader may still rely on it for its lease. The restart
	// therefore counts as contact with a leader.
	n.lastLeaderContact, n.hadLeaderContact = n.now, n.term > 0 || n.log.last() > 0
	n.ledUntil = n.now
	n.resetElectionDeadline()
	if n.soleVoterSinceBootstrap() {
		// No other VM was ever a voter, so none can hold a lease.
		n.electionDeadline, n.hadLeaderContact = n.now, false
	}
}

// soleVoterSinceBootstrap reports whether no other VM was ever a voter of the
// group. It returns false if the log is empty and the group has learners: the disk
// may have been emptied after a learner was promoted, so the replica first waits
// an election timeout for messages from such a voter.
func (n *Node) soleVoterSinceBootstrap() bool {
	cur := n.configs[len(n.configs)-1]
	return cur.members.isSoleVoter(n.cfg.Self) && cur.index <= bootstrapEntries && (cur.index > 0 || len(cur.members.list) == 1)
}

// members returns the latest configuration, which may be uncommitted.
func (n *Node) members() Members { return n.configs[len(n.configs)-1].members }

// quorum returns the number of voters that must agree in an election.
func (n *Node) quorum() int { return n.members().quorum() }

// commitCopies returns the number of voters' disks that must have an entry before
// it is committed under the given configuration.
func (n *Node) commitCopies(mems Members) int { return mems.CommitCopies(n.cfg.MinCopies) }

func (n *Node) isVoter() bool { return n.members().isVoter(n.cfg.Self, n.cfg.Disk) }

func (n *Node) resetElectionDeadline() { n.electionDeadline = n.now.Add(n.rnd.electionTimeout()) }

func (n *Node) emit(eff Effect) { n.effs = append(n.effs, eff) }

func (n *Node) recordEvent(kind event.Kind, vm model.VMID, fis ...event.Field) {
	n.emit(RecordEvent{event: event.New(kind, event.Subject{VM: vm}, fis...)})
}

// fail makes the replica passive and also makes it ignore messages until it is
// restarted, because its log is not reliable.
func (n *Node) fail(cause error) {
	n.becomePassive(cause)
	n.fatalErr, n.leader = cause, ""
}

// becomePassive makes the replica passive because of cause, unless it is already.
func (n *Node) becomePassive(cause error) {
	if n.passiveErr != nil {
		return
	}
	n.stepDown()
	n.passiveErr = cause
	n.recordEvent("replicaFailed", n.cfg.Self, event.NewField("reason", cause.Error()))
}

// Err returns the error that made the replica passive or made it ignore messages,
// or nil.
func (n *Node) Err() error { return cmp.Or(n.fatalErr, n.passiveErr) }

// Members returns the latest configuration, which may be uncommitted.
func (n *Node) Members() Members {
	if !n.started {
		cfg := n.cfg.withDefaults()
		return initialMembers(cfg.Voters, cfg.Learners)
	}
	return n.members()
}

// Commit returns the index of the last entry known to be committed.
func (n *Node) Commit() uint64 { return n.commit }

// Role returns the role of the replica at the given local time. It differs from
// the last RoleChanged if the lease has expired since.
func (n *Node) Role(now model.Instant) Role {
	ro := Role{term: n.term, leader: n.leader, applied: n.commit, failed: n.Err() != nil}
	last, ok := n.termAt(n.commit)
	ro.appliedCurrentTerm = ok && last == n.term && n.leader != ""
	if n.state == leader {
		ro.leading, ro.previousTerm, ro.formerLeaseEnd = true, n.leaderState.previousTerm, n.leaderState.formerLeaseEnd
		if ro.leased = n.leased(now); ro.leased {
			ro.leasedUntil = n.lastQuorumContact(now).Add(LeaseDuration)
		}
	}
	return ro
}

// changed reports whether the roles differ in more than the applied index and
// the end of the lease.
func (ro Role) changed(old Role) bool {
	ro.applied, old.applied = 0, 0
	ro.leasedUntil, old.leasedUntil = 0, 0
	return ro != old
}

// since returns the time elapsed since at.
func (n *Node) since(at model.Instant) time.Duration { return n.now.Sub(at) }
