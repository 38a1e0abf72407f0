package steering

import (
	"math/rand/v2"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/claim"
	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/lookup"
	"bluebellhold/note"
	"bluebellhold/retry"
	"bluebellhold/store"
)

const (
	ledgerTickEvery = 200 * time.Millisecond
	heartbeatEvery  = 500 * time.Millisecond
	listEvery       = time.Second
	probeEvery      = 500 * time.Millisecond
)

// Config configures a State.
type Config struct {
	Self        store.Member
	Incarnation id.Incarnation
	Seed        uint64
	// QueueClassLimit is the most requests of one class that wait for a service; zero means the queue's default.
	QueueClassLimit int
}

// State is everything that one instance knows and decides with.
//
// It is not safe for concurrent use; the instance reduces one event at a time.
type State struct {
	self        store.Member
	incarnation id.Incarnation
	queueLength int
	random      *rand.Rand
	now         time.Time

	epochs epochs
	fresh  freshness
	ledger *allotment.Ledger
	claims *claim.Tracker
	view   *fleet.View
	// isListed is set once the platform's list has been read; before that, unknown members may exist.
	isListed   bool
	candidates *lookup.Candidates
	addresses  map[id.Instance]string
	suspects   *retry.Suspects
	services   map[id.Service]*service
	// names lists the services in order, so that decisions do not depend on the order of a map.
	names         []id.Service
	organisations map[id.Organisation]*organisation
	requests      map[id.Request]*request
	short         []*organisation
	starved       []*request
	peers         map[id.Instance]*peer
	proposals     proposals
	stopping      stopping

	nextLedgerTick time.Time
	nextHeartbeat  time.Time
	nextList       time.Time
	nextProbe      time.Time

	out []Effect
}

// New returns the state of an instance that has just started and knows no configuration.
func New(c Config) *State {
	s := &State{
		self:        c.Self,
		incarnation: c.Incarnation,
		queueLength: c.QueueClassLimit,
		random:      rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))),
		ledger: allotment.New(allotment.Config{
			Self:        ledgerMember(c.Self, true),
			Incarnation: c.Incarnation,
			Seed:        c.Seed,
		}),
		claims: claim.New(claim.Config{
			Instance:    c.Self.Instance,
			Incarnation: c.Incarnation,
			Seed:        c.Seed,
		}),
		view:          fleet.New(fleet.Config{Self: c.Self, Incarnation: c.Incarnation}),
		suspects:      retry.NewSuspects(retry.SuspectsConfig{}),
		services:      make(map[id.Service]*service),
		organisations: make(map[id.Organisation]*organisation),
		requests:      make(map[id.Request]*request),
		peers:         make(map[id.Instance]*peer),
	}
	s.epochs.current = note.Compile(note.Configuration{})
	s.gatherCandidates()
	return s
}

// Reduce takes an event at the time now and returns the effects to carry out, in order.
//
// The slice is valid until the next call.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	s.out = s.out[:0]
	switch e := e.(type) {
	case RequestArrived:
		s.arrive(e)
	case BodyRead:
		s.bodyRead(e)
	case BodyFailed:
		s.bodyFailed(e)
	case RequestCancelled:
		s.callerGone(e)
	case AttemptEnded:
		s.attemptEnded(e)
	case TransferRequested:
		s.dataWanted(e)
	case LoadReported:
		s.loadReported(e)
	case Tick:
		s.tick()
	case MessageReceived:
		s.messageReceived(e)
	default:
		s.reduceControl(e)
	}
	return s.out
}

// reduceControl takes the events that do not come with each request.
func (s *State) reduceControl(e Event) {
	switch e := e.(type) {
	case MembersListed:
		s.membersListed(e)
	case HeadRead:
		s.headRead(e)
	case EpochLoaded:
		s.epochLoaded(e)
	case NoteProposed:
		s.propose(e)
	case TransactionDone:
		s.transactionDone(e)
	case RowsRead:
		s.rowsRead(e)
	case RowsScanned:
		s.claimsReduce(claim.RowsScanned{ID: e.Call.ID, Rows: e.Rows, Err: e.Err})
	case ObjectDone:
		s.objectDone(e)
	case StopRequested:
		s.stopRequested()
	case CallerConnectionsClosed:
		s.stopping.isClosed = true
	}
}

func (s *State) emit(e Effect) {
	s.out = append(s.out, e)
}

func (s *State) report(part, text string, fields ...any) {
	s.emit(Log{Component: part, Message: text, Fields: fields})
}

// tick does what is due by time alone.
func (s *State) tick() {
	if !s.now.Before(s.nextLedgerTick) {
		s.nextLedgerTick = s.now.Add(ledgerTickEvery)
		s.ledgerReduce(allotment.Tick{})
		s.claimsReduce(claim.Tick{})
		s.viewChanged(s.view.Reduce(s.now, fleet.Tick{}))
		s.checkFreshness()
	}
	if !s.now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = s.now.Add(heartbeatEvery)
		s.sendHeartbeats()
		s.pollHead()
		s.continueProposal()
	}
	if !s.now.Before(s.nextList) {
		s.nextList = s.now.Add(listEvery)
		s.emit(ListMembers{})
	}
	if !s.now.Before(s.nextProbe) {
		s.nextProbe = s.now.Add(probeEvery)
		s.probe()
	}
	s.retryShort()
	s.retryStarved()
	s.expireQueued()
	s.pumpAll()
	s.continueStop()
}

func (s *State) transactionDone(e TransactionDone) {
	switch e.Call.Owner {
	case OwnerLedger:
		s.ledgerReduce(allotment.TransactionDone{ID: e.Call.ID, Result: e.Result, Err: e.Err})
	case OwnerClaims:
		s.claimsReduce(claim.TransactionDone{ID: e.Call.ID, Result: e.Result, Err: e.Err})
	case OwnerProposals:
		s.proposalCommitted(e)
	}
}

func (s *State) rowsRead(e RowsRead) {
	switch e.Call.Owner {
	case OwnerLedger:
		s.ledgerReduce(allotment.RowsRead{ID: e.Call.ID, SentAt: e.SentAt, Rows: e.Rows, Err: e.Err})
	case OwnerClaims:
		s.claimsReduce(claim.RowsRead{ID: e.Call.ID, Rows: e.Rows, Err: e.Err})
	case OwnerProposals:
		s.proposalRead(e)
	}
}

func (s *State) objectDone(e ObjectDone) {
	switch e.Call.Owner {
	case OwnerClaims:
		s.claimsObject(e)
	case OwnerProposals:
		s.proposalWritten(e)
	}
}

func (s *State) loadReported(e LoadReported) {
	svc := s.services[e.Service]
	if svc == nil || e.Failed {
		// A load endpoint that fails says nothing about requests; those tell on their own whether the upstream lives.
		return
	}
	svc.reported(s.now, e)
}
