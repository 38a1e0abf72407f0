package steering

import (
	"encoding/json"
	"slices"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/wire"
	"bluebellhold/note"
	"bluebellhold/store"
)

// askInterval is the time between two requests for the content of the same epoch; the content of a large configuration
// takes longer than a heartbeat to arrive.
const epochRequestInterval = time.Second

// HeadRow is the row that names the newest epoch.
const HeadRow = "head"

// Head is the value of the head row.
type Head struct {
	Epoch  id.Epoch  `json:"epoch"`
	Digest id.Digest `json:"digest"`
	Note   id.Note   `json:"note"`
	// Time is when the accepting instance wrote it, by its own clock.
	Time time.Time `json:"time"`
}

// epochs is the configuration that the instance uses and the newest one that it has heard of.
type epochState struct {
	current *note.Compiled
	digest  id.Digest
	body    []byte
	newest  Head
	// asked is the epoch that was last asked for, and askAgainAt when a further request for it may go out.
	requestedEpoch id.Epoch
	nextRequestAt  time.Time
}

func (e *epochState) hasConfiguration() bool { return e.current.Epoch > 0 }

func parseHead(row store.Row) (Head, bool) {
	var head Head
	if row.Version == 0 {
		return head, true
	}
	err := json.Unmarshal(row.Value, &head)
	return head, err == nil
}

// pollHead reads the head row if this instance is its data centre's reader or has no recent evidence from peers.
func (s *State) pollHead() {
	if s.view.IsHeadPoller(s.now) || s.freshness.needsHeadRead(s.now) {
		s.emit(ReadHead{})
	}
}

func (s *State) handleHeadRead(e HeadRead) {
	head, ok := parseHead(e.Row)
	if e.Err != nil || !ok {
		s.freshness.recordHeadReadFailure(s.now)
		return
	}
	s.freshness.storeDown = false
	if head.Epoch <= s.epochs.current.Epoch {
		s.freshness.recordVerified(e.SentAt)
		return
	}
	// The evidence counts once the newer epoch is in force; until then the old epoch's freshness runs out.
	s.recordHead(head)
	s.freshness.pendingVerifiedAt = e.SentAt
}

// hearEpoch notes a newer epoch and asks for its content, from the object store and from the peers that have it.
func (s *State) recordHead(head Head) {
	if head.Epoch <= s.epochs.current.Epoch || head.Epoch < s.epochs.newest.Epoch {
		return
	}
	s.epochs.newest = head
	s.fetchEpoch(head.Epoch)
}

// fetchEpoch asks a peer that has the epoch for its content, else the object store, at most once in askInterval.
func (s *State) fetchEpoch(epoch id.Epoch) {
	if epoch == s.epochs.requestedEpoch && s.now.Before(s.epochs.nextRequestAt) {
		return
	}
	s.epochs.requestedEpoch = epoch
	s.epochs.nextRequestAt = s.now.Add(epochRequestInterval)
	if source := s.peerWithEpoch(epoch); source != "" {
		s.emit(Send{To: source, Message: &wire.Envelope{Payload: &wire.Envelope_EpochRequest{
			EpochRequest: &wire.EpochRequest{Epoch: uint64(epoch)},
		}}})
	}
	if newest := s.epochs.newest; newest.Epoch >= epoch {
		s.emit(LoadEpoch{Epoch: newest.Epoch, Digest: newest.Digest})
	}
}

// refetchEpoch asks again for an epoch whose content has not come.
func (s *State) refetchEpoch() {
	if newest := s.epochs.newest; newest.Epoch > s.epochs.current.Epoch {
		s.fetchEpoch(newest.Epoch)
	}
}

func (s *State) handleEpochLoaded(e EpochLoaded) {
	if e.Configuration == nil || e.Epoch <= s.epochs.current.Epoch {
		return
	}
	s.applyConfiguration(e.Configuration, e.Digest, e.Body)
}

// adopt puts a newer configuration in force; an older one is never adopted, so nothing reverts.
func (s *State) applyConfiguration(c *note.Compiled, digest id.Digest, body []byte) {
	s.epochs.current = c
	s.epochs.digest = digest
	s.epochs.body = body
	if !s.freshness.pendingVerifiedAt.IsZero() && c.Epoch >= s.epochs.newest.Epoch {
		s.freshness.recordVerified(s.freshness.pendingVerifiedAt)
		s.freshness.pendingVerifiedAt = time.Time{}
	}
	s.configureOrganisations()
	s.configureServices()
	s.configureLimits()
	s.log("note", "configuration in force", "epoch", c.Epoch, "note", c.Note)
	for _, name := range s.peerNames() {
		s.announceEpoch(name)
	}
	s.dispatchAll()
}

func (s *State) announceEpoch(peer id.Instance) {
	s.emit(Send{To: peer, Message: &wire.Envelope{Payload: &wire.Envelope_EpochAnnounced{
		EpochAnnounced: &wire.EpochAnnounced{
			Epoch:  uint64(s.epochs.current.Epoch),
			Digest: slices.Clone(s.epochs.digest[:]),
		},
	}}})
}
