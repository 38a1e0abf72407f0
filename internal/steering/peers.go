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

// heartbeatsKept is how many unanswered heartbeats of a peer are remembered.
const heartbeatsKept = 16

// peer is what an instance keeps for another instance.
type peer struct {
	epoch    id.Epoch
	sequence uint64
	// sent holds the send times of the last heartbeats, by sequence number modulo its length.
	sent [heartbeatsKept]time.Time
	// loads are the requests that the peer runs, as of loadsAt.
	loads   map[place]int
	loadsAt time.Time
	// confirmedAt is when the peer last said that it could not read the head and knows no newer epoch.
	confirmedAt time.Time
	incarnation id.Incarnation
	// stopped is the incarnation that said farewell; a stopped process accepts no release note.
	stopped id.Incarnation
}

// hasStopped reports whether the last process that was heard under the peer's name has stopped.
func (p *peer) hasStopped() bool { return p.stopped != 0 && p.stopped == p.incarnation }

func (s *State) peer(name id.Instance) *peer {
	p := s.peers[name]
	if p == nil {
		p = &peer{}
		s.peers[name] = p
	}
	return p
}

func (s *State) livePeers() []id.Instance {
	var names []id.Instance
	for _, m := range s.view.Members() {
		if m.Instance != s.self.Instance && m.Status != fleet.Gone {
			names = append(names, m.Instance)
		}
	}
	return names
}

func (s *State) peerWithEpoch(epoch id.Epoch) id.Instance {
	for _, name := range s.livePeers() {
		if p := s.peers[name]; p != nil && p.epoch >= epoch {
			return name
		}
	}
	return ""
}

func (s *State) membersListed(e MembersListed) {
	if e.Failed {
		return
	}
	changes := s.view.Reduce(s.now, fleet.MembersListed{Members: e.Members})
	if !s.isListed && len(changes) == 0 {
		// The first list of an instance that is alone changes nothing in the view, but the ledger waits for it.
		s.publishMembers()
	}
	s.isListed = true
	s.viewChanged(changes)
}

// viewChanged reports changes of members and tells the sessions and the ledger about them.
func (s *State) viewChanged(changes []fleet.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		s.report("fleet", "instance changed its status", "instance", c.Instance, "status", c.To)
		if c.To == fleet.Gone {
			delete(s.peers, c.Instance)
		}
	}
	s.publishMembers()
}

// publishMembers tells the look-ups, the sessions and the ledger which instances there are.
func (s *State) publishMembers() {
	s.gatherCandidates()
	var members []store.Member
	shares := []allotment.Member{ledgerMember(s.self, !s.stopping.isLeaving())}
	for _, m := range s.view.Members() {
		if m.Instance == s.self.Instance {
			continue
		}
		if m.Status != fleet.Gone {
			members = append(members, m.Member)
		}
		shares = append(shares, ledgerMember(m.Member, m.Status == fleet.Live))
	}
	s.emit(SetPeers{Members: members})
	s.ledgerReduce(allotment.MembersChanged{Members: shares})
}

func (s *State) sendHeartbeats() {
	for _, name := range s.livePeers() {
		p := s.peer(name)
		p.sequence++
		p.sent[p.sequence%heartbeatsKept] = s.now
		s.emit(Send{To: name, Message: &wire.Envelope{Payload: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{
			Sequence:    p.sequence,
			Incarnation: uint64(s.incarnation),
			Epoch:       uint64(s.epochs.current.Epoch),
			Leaving:     s.stopping.isLeaving(),
		}}}})
	}
	s.refetchEpoch()
}

func (s *State) messageReceived(e MessageReceived) {
	switch m := e.Message.GetPayload().(type) {
	case *wire.Envelope_Heartbeat:
		s.heartbeat(e.From, m.Heartbeat)
	case *wire.Envelope_HeartbeatReply:
		s.heartbeatReply(e.From, m.HeartbeatReply)
	case *wire.Envelope_EpochAnnounced:
		s.epochAnnounced(e.From, m.EpochAnnounced)
	case *wire.Envelope_EpochRequest:
		s.epochRequested(e.From)
	case *wire.Envelope_EpochReply:
		s.epochReceived(m.EpochReply)
	case *wire.Envelope_Farewell:
		s.peer(e.From).stopped = s.peer(e.From).incarnation
		s.viewChanged(s.view.Reduce(s.now, fleet.FarewellReceived{Instance: e.From}))
	default:
		s.ledgerMessage(e)
	}
}

func (s *State) ledgerMessage(e MessageReceived) {
	message, ok := ledgerMessage(e.Message)
	if !ok {
		return
	}
	s.ledgerReduce(allotment.MessageReceived{From: e.From, Message: message})
	if _, isLoan := message.(allotment.LoanReply); isLoan {
		s.retryShort()
		s.retryStarved()
		s.pumpAll()
	}
}

func (s *State) heard(from id.Instance, incarnation uint64, leaving bool) {
	s.viewChanged(s.view.Reduce(s.now, fleet.HeartbeatReceived{
		Instance: from, Incarnation: id.Incarnation(incarnation), Leaving: leaving,
	}))
}

func (s *State) heartbeat(from id.Instance, m *wire.Heartbeat) {
	s.heard(from, m.GetIncarnation(), m.GetLeaving())
	s.peer(from).epoch = id.Epoch(m.GetEpoch())
	s.peer(from).incarnation = id.Incarnation(m.GetIncarnation())
	s.emit(Send{To: from, Message: &wire.Envelope{Payload: &wire.Envelope_HeartbeatReply{
		HeartbeatReply: &wire.HeartbeatReply{
			Sequence:    m.GetSequence(),
			Incarnation: uint64(s.incarnation),
			Epoch:       uint64(s.epochs.current.Epoch),
			Leaving:     s.stopping.isLeaving(),
			Age:         int64(s.evidenceAge()),
			Storedown:   s.fresh.couldNotRead(s.now) && !s.proposals.isWriting(),
			Suspects:    s.suspectsToTell(),
			Loads:       s.loadsToTell(),
		},
	}}})
	s.compareEpoch(from, id.Epoch(m.GetEpoch()))
}

func (s *State) heartbeatReply(from id.Instance, m *wire.HeartbeatReply) {
	s.heard(from, m.GetIncarnation(), m.GetLeaving())
	p := s.peer(from)
	epoch := id.Epoch(m.GetEpoch())
	p.epoch = epoch
	s.compareEpoch(from, epoch)
	s.learnSuspects(m.GetSuspects())
	p.learnLoads(s.now, m.GetLoads())
	if m.GetSequence() > p.sequence || p.sequence-m.GetSequence() >= heartbeatsKept {
		return
	}
	sentAt := p.sent[m.GetSequence()%heartbeatsKept]
	s.hearFreshness(p, epoch, time.Duration(m.GetAge()), m.GetStoredown(), sentAt)
}

// compareEpoch asks a peer for its epoch if it is newer, and tells a peer about ours if its own is older.
func (s *State) compareEpoch(from id.Instance, epoch id.Epoch) {
	switch {
	case epoch > s.epochs.current.Epoch:
		s.fetchEpoch(epoch)
	case epoch < s.epochs.current.Epoch:
		s.announceTo(from)
	}
}

func (s *State) epochAnnounced(from id.Instance, m *wire.EpochAnnounced) {
	epoch := id.Epoch(m.GetEpoch())
	s.peer(from).epoch = epoch
	if epoch > s.epochs.current.Epoch {
		s.fetchEpoch(epoch)
	}
}

func (s *State) epochRequested(from id.Instance) {
	if !s.epochs.hasConfiguration() {
		return
	}
	s.emit(Send{To: from, Message: &wire.Envelope{Payload: &wire.Envelope_EpochReply{EpochReply: &wire.EpochReply{
		Epoch:  uint64(s.epochs.current.Epoch),
		Digest: slices.Clone(s.epochs.digest[:]),
		Body:   s.epochs.body,
	}}}})
}

func (s *State) epochReceived(m *wire.EpochReply) {
	if id.Epoch(m.GetEpoch()) <= s.epochs.current.Epoch || len(m.GetDigest()) != len(id.Digest{}) {
		return
	}
	s.emit(DecodeEpoch{Epoch: id.Epoch(m.GetEpoch()), Digest: id.Digest(m.GetDigest()), Body: m.GetBody()})
}
