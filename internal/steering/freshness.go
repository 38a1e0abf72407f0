package steering

import (
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
)

const (
	// freshnessTTL is how long the epoch in force counts as the newest after this was last verified. It bounds the time
	// for which a withdrawn key still works at a partitioned instance.
	freshnessTTL = 3 * time.Second
	// headReadAge is the age of the last verification from which an instance reads the head itself.
	headReadAge = time.Second
)

// freshness tracks whether the epoch in force is the newest.
type freshness struct {
	// verifiedAt is the latest time at which the epoch in force was known to be the newest.
	verifiedAt time.Time
	validUntil time.Time
	// pendingVerifiedAt becomes verifiedAt once the newest epoch of which the instance has received the head is in force.
	pendingVerifiedAt time.Time
	storeDown         bool
	headReadFailedAt  time.Time
}

func (f *freshness) isFresh(now time.Time) bool { return now.Before(f.validUntil) }

func (f *freshness) needsHeadRead(now time.Time) bool {
	return f.storeDown || f.verifiedAt.IsZero() || now.Sub(f.verifiedAt) >= headReadAge
}

func (f *freshness) recordVerified(verifiedAt time.Time) {
	if verifiedAt.After(f.verifiedAt) {
		f.verifiedAt = verifiedAt
		f.validUntil = verifiedAt.Add(freshnessTTL)
	}
}

func (f *freshness) recordHeadReadFailure(now time.Time) {
	f.storeDown = true
	f.headReadFailedAt = now
}

// isStoreDown reports whether this instance's last read of the head failed, and did so recently.
func (f *freshness) isStoreDown(now time.Time) bool {
	return f.storeDown && now.Sub(f.headReadFailedAt) < freshnessTTL
}

// verifyByPeers verifies the epoch in force by the confirmations of all other members while the store is down.
//
// If no member could read the head and none has a newer epoch or is writing one, then none was accepted before the
// oldest of these confirmations: an epoch is only accepted by a member that reaches the store. A member without a
// confirmation prevents the verification, because it may be on the other side of a partition together with the store.
func (s *State) verifyByPeers() {
	if !s.freshness.isStoreDown(s.now) || !s.hasMemberList || s.proposals.hasUnresolvedCommit() {
		return
	}
	oldest := s.freshness.headReadFailedAt
	for _, m := range s.view.Members() {
		if m.Instance == s.self.Instance || m.Status == fleet.Gone {
			continue
		}
		p := s.peers[m.Instance]
		if p != nil && p.hasStopped() {
			continue
		}
		if p == nil || p.confirmedAt.IsZero() {
			return
		}
		if p.confirmedAt.Before(oldest) {
			oldest = p.confirmedAt
		}
	}
	if s.epochs.newest.Epoch <= s.epochs.current.Epoch {
		s.freshness.recordVerified(oldest)
	}
}

// verificationAge returns the age of the verification that this instance reports to peers, or -1 for none.
func (s *State) verificationAge() time.Duration {
	if s.freshness.verifiedAt.IsZero() || s.proposals.hasUnresolvedCommit() {
		return -1
	}
	return s.now.Sub(s.freshness.verifiedAt)
}

// recordPeerFreshness applies the freshness in a peer's reply to the heartbeat that was sent at sentAt.
func (s *State) recordPeerFreshness(p *peer, epoch id.Epoch, age time.Duration, storeDown bool, sentAt time.Time) {
	if epoch > s.epochs.current.Epoch {
		return
	}
	if storeDown {
		p.confirmedAt = sentAt
	}
	if epoch == s.epochs.current.Epoch && age >= 0 && !storeDown {
		s.freshness.recordVerified(sentAt.Add(-age))
	}
}
