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

// epochRequestInterval is the minimum time between two requests for the content of the same epoch; a large
// configuration takes longer to arrive than the time between two heartbeats.
const epochRequestInterval = time.Second

// HeadRow is the name of the row that identifies the newest epoch.
const HeadRow = "head"

// Head is the value of the head row.
type Head struct {
	Epoch  id.Epoch  `json:"epoch"`
	Digest id.Digest `json:"digest"`
	Note   id.Note   `json:"note"`
	// Time is when the accepting instance wrote the row, by its own clock.
	Time time.Time `json:"time"`
}

// epochState holds the configuration in force and the newest head that the instance has received.
type epochState struct {
	current *note.Compiled
	digest  id.Digest
	body    []byte
	newest  Head
	// requestedEpoch is the epoch that was last requested, and nextRequestAt the earliest time to request it again.
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

// pollHead reads the head row if this instance polls it for its data centre, if its last read failed, or if its last
// verification is too old.
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
	// The read verifies the newer epoch once that is in force; until then the freshness of the old epoch runs out.
	s.recordHead(head)
	s.freshness.pendingVerifiedAt = e.SentAt
}

// recordHead records the head of a newer epoch and requests its content.
func (s *State) recordHead(head Head) {
	if head.Epoch <= s.epochs.current.Epoch || head.Epoch < s.epochs.newest.Epoch {
		return
	}
	s.epochs.newest = head
	s.fetchEpoch(head.Epoch)
}

// fetchEpoch requests the content of an epoch from a peer that has it, and from the object store if its digest is
// known, at most once per epochRequestInterval.
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

// refetchEpoch requests the newest epoch again if its content has not arrived.
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

// applyConfiguration puts a newer configuration in force. Older ones must be rejected before, so that a configuration
// never reverts.
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
