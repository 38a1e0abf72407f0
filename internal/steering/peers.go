package steering

import (
	"slices"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/fleet"
	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// heartbeatWindow is the number of the last heartbeats to a peer whose replies are accepted.
const heartbeatWindow = 16

// peer is this instance's state of another instance.
type peer struct {
	epoch    id.Epoch
	sequence uint64
	// heartbeatSentAt holds the send times of the last heartbeats, by sequence number modulo its length.
	heartbeatSentAt [heartbeatWindow]time.Time
	// loads counts the peer's requests in flight, as of loadsAt.
	loads   map[regionKey]int
	loadsAt time.Time
	// confirmedAt is the send time of the last heartbeat to which the peer replied that it could not read the head,
	// with no newer epoch.
	confirmedAt time.Time
	incarnation id.Incarnation
	// isSevered is set while the peer reaches no upstream.
	isSevered bool
	// stoppedIncarnation is the incarnation that sent a farewell; a stopped process accepts no release note.
	stoppedIncarnation id.Incarnation
}

// hasStopped reports whether the process that sent the last heartbeat under the peer's name has stopped.
func (p *peer) hasStopped() bool {
	return p.stoppedIncarnation != 0 && p.stoppedIncarnation == p.incarnation
}

func (s *State) ensurePeer(name id.Instance) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{}
		s.peers[name] = p
	}
	return p
}

func (s *State) peerNames() []id.Instance {
	var names []id.Instance
	for _, m := range s.view.Members() {
		if m.Instance != s.self.Instance && m.Status != fleet.Gone {
			names = append(names, m.Instance)
		}
	}
	return names
}

func (s *State) peerWithEpoch(epoch id.Epoch) id.Instance {
	for _, name := range s.peerNames() {
		if p := s.peers[name]; p != nil && p.epoch >= epoch {
			return name
		}
	}
	return ""
}

func (s *State) handleMembersListed(e MembersListed) {
	if e.Failed {
		return
	}
	changes := s.view.Reduce(s.now, fleet.MembersListed{Members: e.Members})
	if !s.hasMemberList && len(changes) == 0 {
		// The first list of a fleet of one instance changes nothing in the view, but the ledger waits for it.
		s.publishMembers()
	}
	s.hasMemberList = true
	s.handleViewChanges(changes)
}

// handleViewChanges logs changes of the membership and publishes the members.
func (s *State) handleViewChanges(changes []fleet.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.log("fleet", "instance changed its status", "instance", c.Instance, "status", c.To)
		if c.To == fleet.Gone {
			delete(s.peers, c.Instance)
		}
	}
	s.publishMembers()
}

// publishMembers passes the membership to the look-ups, the peer sessions and the ledger.
func (s *State) publishMembers() {
	s.updateCandidates()
	s.updateHelpers()
	var members []store.Member
	ledgerMembers := []allotment.Member{ledgerMember(s.self, !s.stop.isLeaving())}
	for _, m := range s.view.Members() {
		if m.Instance == s.self.Instance {
			continue
		}
		if m.Status != fleet.Gone {
			members = append(members, m.Member)
		}
		ledgerMembers = append(ledgerMembers, ledgerMember(m.Member, m.Status == fleet.Live))
	}
	s.emit(SetPeers{Members: members})
	s.reduceLedger(allotment.MembersChanged{Members: ledgerMembers})
}

func (s *State) sendHeartbeats() {
	for _, name := range s.peerNames() {
		p := s.ensurePeer(name)
		p.sequence++
		p.heartbeatSentAt[p.sequence%heartbeatWindow] = s.now
		s.emit(Send{To: name, Message: &wire.Envelope{Payload: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{
			Sequence:    p.sequence,
			Incarnation: uint64(s.incarnation),
			Epoch:       uint64(s.epochs.current.Epoch),
			Leaving:     s.stop.isLeaving(),
			Severed:     s.uplink.IsSevered(),
		}}}})
	}
	s.refetchEpoch()
}

func (s *State) handleMessage(e MessageReceived) {
	switch m := e.Message.GetPayload().(type) {
	case *wire.Envelope_Heartbeat:
		s.handleHeartbeat(e.From, m.Heartbeat)
	case *wire.Envelope_HeartbeatReply:
		s.handleHeartbeatReply(e.From, m.HeartbeatReply)
	case *wire.Envelope_EpochAnnounced:
		s.handleEpochAnnounced(e.From, m.EpochAnnounced)
	case *wire.Envelope_EpochRequest:
		s.handleEpochRequest(e.From)
	case *wire.Envelope_EpochReply:
		s.handleEpochReply(m.EpochReply)
	case *wire.Envelope_Farewell:
		s.ensurePeer(e.From).stoppedIncarnation = s.ensurePeer(e.From).incarnation
		s.handleViewChanges(s.view.Reduce(s.now, fleet.FarewellReceived{Instance: e.From}))
	default:
		s.handleLedgerMessage(e)
	}
}

func (s *State) handleLedgerMessage(e MessageReceived) {
	message, ok := decodeLedgerMessage(e.Message)
	if !ok {
		return
	}
	s.reduceLedger(allotment.MessageReceived{From: e.From, Message: message})
	if _, isLoan := message.(allotment.LoanReply); isLoan {
		s.retryTokenWaiters()
		s.retryTransfers()
		s.dispatchAll()
	}
}

func (s *State) recordHeartbeat(from id.Instance, incarnation uint64, leaving bool) {
	s.handleViewChanges(s.view.Reduce(s.now, fleet.HeartbeatReceived{
		Instance: from, Incarnation: id.Incarnation(incarnation), Leaving: leaving,
	}))
}

func (s *State) handleHeartbeat(from id.Instance, m *wire.Heartbeat) {
	s.recordHeartbeat(from, m.GetIncarnation(), m.GetLeaving())
	s.recordPeerUplink(from, m.GetSevered())
	s.ensurePeer(from).epoch = id.Epoch(m.GetEpoch())
	s.ensurePeer(from).incarnation = id.Incarnation(m.GetIncarnation())
	s.emit(Send{To: from, Message: &wire.Envelope{Payload: &wire.Envelope_HeartbeatReply{
		HeartbeatReply: &wire.HeartbeatReply{
			Sequence:    m.GetSequence(),
			Incarnation: uint64(s.incarnation),
			Epoch:       uint64(s.epochs.current.Epoch),
			Leaving:     s.stop.isLeaving(),
			Age:         int64(s.verificationAge()),
			Storedown:   s.freshness.isStoreDown(s.now) && !s.proposals.hasUnresolvedCommit(),
			Suspects:    s.suspectReports(),
			Loads:       s.ownLoads(),
		},
	}}})
	s.syncEpoch(from, id.Epoch(m.GetEpoch()))
}

func (s *State) handleHeartbeatReply(from id.Instance, m *wire.HeartbeatReply) {
	s.recordHeartbeat(from, m.GetIncarnation(), m.GetLeaving())
	p := s.ensurePeer(from)
	epoch := id.Epoch(m.GetEpoch())
	p.epoch = epoch
	s.syncEpoch(from, epoch)
	s.mergeSuspectReports(m.GetSuspects())
	p.recordLoads(s.now, m.GetLoads())
	if m.GetSequence() > p.sequence || p.sequence-m.GetSequence() >= heartbeatWindow {
		return
	}
	sentAt := p.heartbeatSentAt[m.GetSequence()%heartbeatWindow]
	s.recordPeerFreshness(p, epoch, time.Duration(m.GetAge()), m.GetStoredown(), sentAt)
}

// syncEpoch requests the peer's epoch if that is newer, and announces the own epoch if the peer's is older.
func (s *State) syncEpoch(from id.Instance, epoch id.Epoch) {
	switch {
	case epoch > s.epochs.current.Epoch:
		s.fetchEpoch(epoch)
	case epoch < s.epochs.current.Epoch:
		s.announceEpoch(from)
	}
}

func (s *State) handleEpochAnnounced(from id.Instance, m *wire.EpochAnnounced) {
	epoch := id.Epoch(m.GetEpoch())
	s.ensurePeer(from).epoch = epoch
	if epoch > s.epochs.current.Epoch {
		s.fetchEpoch(epoch)
	}
}

func (s *State) handleEpochRequest(from id.Instance) {
	if !s.epochs.hasConfiguration() {
		return
	}
	s.emit(Send{To: from, Message: &wire.Envelope{Payload: &wire.Envelope_EpochReply{EpochReply: &wire.EpochReply{
		Epoch:  uint64(s.epochs.current.Epoch),
		Digest: slices.Clone(s.epochs.digest[:]),
		Body:   s.epochs.body,
	}}}})
}

func (s *State) handleEpochReply(m *wire.EpochReply) {
	if id.Epoch(m.GetEpoch()) <= s.epochs.current.Epoch || len(m.GetDigest()) != len(id.Digest{}) {
		return
	}
	s.emit(DecodeEpoch{Epoch: id.Epoch(m.GetEpoch()), Digest: id.Digest(m.GetDigest()), Body: m.GetBody()})
}
