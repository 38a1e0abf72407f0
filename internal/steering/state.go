package steering

import (
	"math/rand/v2"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/claim"
	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/internal/uplink"
	"bluebellhold/lookup"
	"bluebellhold/note"
	"bluebellhold/retry"
	"bluebellhold/store"
)

const (
	ledgerTickInterval = 200 * time.Millisecond
	heartbeatInterval  = 500 * time.Millisecond
	listInterval       = time.Second
	probeInterval      = 500 * time.Millisecond
)

// Config configures a State.
type Config struct {
	Self        store.Member
	Incarnation id.Incarnation
	Seed        uint64
	// QueueClassLimit is the maximum number of requests of one class that wait for a service; zero means the default of
	// package queue.
	QueueClassLimit int
}

// State is the whole state of one instance.
//
// It is not safe for concurrent use; the instance reduces one event at a time.
type State struct {
	self            store.Member
	incarnation     id.Incarnation
	queueClassLimit int
	random          *rand.Rand
	now             time.Time

	epochs    epochState
	freshness freshness
	ledger    *allotment.Ledger
	claims    *claim.Tracker
	view      *fleet.View
	// hasMemberList is set once the platform's list has been read; before that, the view may lack members.
	hasMemberList bool
	candidates    *lookup.Candidates
	addresses     map[id.Instance]string
	suspects      *retry.Suspects
	services      map[id.Service]*service
	// serviceNames is sorted, so that decisions do not depend on the iteration order of a map.
	serviceNames    []id.Service
	organisations   map[id.Organisation]*organisation
	requests        map[id.Request]*request
	tokenStarved    []*organisation // with requests that wait for a token
	transferWaiters []*request      // in flight, with a requested transfer
	peers           map[id.Instance]*peer
	proposals       proposals
	stop            stopState
	uplink          *uplink.Tracker
	// helpers are the instances through which this one reaches the upstreams while it is severed, since severedAt.
	helpers        *uplink.Helpers
	severedAt      time.Time
	pendingCrashes []pendingCrash

	nextLedgerTick time.Time
	nextHeartbeat  time.Time
	nextList       time.Time
	nextProbe      time.Time

	nextUplinkCheck time.Time

	effects []Effect
}

// New returns the state of an instance that has just started and has no configuration.
func New(c Config) *State {
	s := &State{
		self:            c.Self,
		incarnation:     c.Incarnation,
		queueClassLimit: c.QueueClassLimit,
		random:          rand.New(rand.NewPCG(c.Seed, uint64(c.Incarnation))),
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
		uplink:        uplink.New(),
		helpers:       uplink.NewHelpers(c.Self.Instance),
	}
	s.epochs.current = note.Compile(note.Configuration{})
	s.updateCandidates()
	return s
}

// Reduce applies an event at the time now and returns the effects to execute, in order.
//
// The slice is valid until the next call.
func (s *State) Reduce(now time.Time, e Event) []Effect {
	s.now = now
	s.effects = s.effects[:0]
	switch e := e.(type) {
	case RequestArrived:
		s.handleRequestArrived(e)
	case BodyRead:
		s.handleBodyRead(e)
	case BodyFailed:
		s.handleBodyFailed(e)
	case CallerDisconnected:
		s.handleCallerDisconnected(e)
	case AttemptEnded:
		s.handleAttemptEnded(e)
	case TransferRequested:
		s.handleTransferRequested(e)
	case LoadReported:
		s.handleLoadReported(e)
	case ConnectionTested:
		s.recordReach(e.Upstream, e.IsReached)
	case Tick:
		s.handleTick()
	case MessageReceived:
		s.handleMessage(e)
	default:
		s.reduceControl(e)
	}
	return s.effects
}

// reduceControl applies the events of the control plane and the results of platform calls.
func (s *State) reduceControl(e Event) {
	switch e := e.(type) {
	case MembersListed:
		s.handleMembersListed(e)
	case HeadRead:
		s.handleHeadRead(e)
	case EpochLoaded:
		s.handleEpochLoaded(e)
	case NoteProposed:
		s.handleNoteProposed(e)
	case TransactionDone:
		s.handleTransactionDone(e)
	case RowsRead:
		s.handleRowsRead(e)
	case RowsScanned:
		s.reduceClaims(claim.RowsScanned{ID: e.Call.ID, Rows: e.Rows, Err: e.Err})
	case ObjectDone:
		s.handleObjectDone(e)
	case StopRequested:
		s.handleStopRequested()
	case CallerConnectionsClosed:
		s.stop.connectionsClosed = true
	}
}

func (s *State) emit(e Effect) {
	s.effects = append(s.effects, e)
}

func (s *State) log(component, message string, fields ...any) {
	s.emit(Log{Component: component, Message: message, Fields: fields})
}

// handleTick runs the periodic work that is due, and retries what waits for tokens, slots or deadlines.
func (s *State) handleTick() {
	if !s.now.Before(s.nextLedgerTick) {
		s.nextLedgerTick = s.now.Add(ledgerTickInterval)
		s.reduceLedger(allotment.Tick{})
		s.reduceClaims(claim.Tick{})
		s.handleViewChanges(s.view.Reduce(s.now, fleet.Tick{}))
		s.verifyByPeers()
	}
	if !s.now.Before(s.nextHeartbeat) {
		s.nextHeartbeat = s.now.Add(heartbeatInterval)
		s.sendHeartbeats()
		s.pollHead()
		s.continueProposal()
	}
	if !s.now.Before(s.nextList) {
		s.nextList = s.now.Add(listInterval)
		s.emit(ListMembers{})
	}
	if !s.now.Before(s.nextProbe) {
		s.nextProbe = s.now.Add(probeInterval)
		s.probeUpstreams()
	}
	s.checkUplink()
	s.retryTokenWaiters()
	s.retryTransfers()
	s.refuseExpired()
	s.dispatchAll()
	s.continueStop()
}

func (s *State) handleTransactionDone(e TransactionDone) {
	switch e.Call.Owner {
	case OwnerLedger:
		s.reduceLedger(allotment.TransactionDone{ID: e.Call.ID, Result: e.Result, Err: e.Err})
	case OwnerClaims:
		s.reduceClaims(claim.TransactionDone{ID: e.Call.ID, Result: e.Result, Err: e.Err})
	case OwnerProposals:
		s.handleProposalCommitted(e)
	}
}

func (s *State) handleRowsRead(e RowsRead) {
	switch e.Call.Owner {
	case OwnerLedger:
		s.reduceLedger(allotment.RowsRead{ID: e.Call.ID, SentAt: e.SentAt, Rows: e.Rows, Err: e.Err})
	case OwnerClaims:
		s.reduceClaims(claim.RowsRead{ID: e.Call.ID, Rows: e.Rows, Err: e.Err})
	case OwnerProposals:
		s.handleProposalRead(e)
	}
}

func (s *State) handleObjectDone(e ObjectDone) {
	switch e.Call.Owner {
	case OwnerClaims:
		s.handleClaimObject(e)
	case OwnerProposals:
		s.handleProposalWritten(e)
	}
}

func (s *State) handleLoadReported(e LoadReported) {
	svc := s.services[e.Service]
	if svc == nil || e.Failed {
		// A failed load endpoint says nothing about requests; their own outcomes show whether the upstream is healthy.
		return
	}
	svc.recordLoadReport(s.now, e)
}
