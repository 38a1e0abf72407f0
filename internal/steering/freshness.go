package steering

import (
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
)

const (
	// freshFor is how long evidence that the epoch is the newest counts; it bounds the time that a withdrawn key
	// still works at an instance that is cut off.
	freshnessTTL = 3 * time.Second
	// readAfter is the age of evidence from which an instance reads the head itself.
	headReadAge = time.Second
)

// freshness is what an instance knows about whether its epoch is the newest.
type freshness struct {
	// evidence is the newest time at which the epoch in force was known to be the newest.
	verifiedAt time.Time
	validUntil time.Time
	// pending is the evidence that counts once the epoch that the instance has heard of is in force.
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

// couldNotRead reports whether the store was down for this instance at its last, recent read of the head.
func (f *freshness) isStoreDown(now time.Time) bool {
	return f.storeDown && now.Sub(f.headReadFailedAt) < freshnessTTL
}

// checkFreshness takes the word of all other members as evidence while the store is down.
//
// If no member could read the head and none knows a newer epoch or is writing one, then none was accepted before the
// oldest of these words: an epoch is only accepted by a member that reaches the store. A member that is not heard
// keeps the evidence from counting, because it may be on the other side of a cut together with the store.
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

// evidenceAge returns how old the evidence is that this instance can pass on, or -1 for none.
func (s *State) verificationAge() time.Duration {
	if s.freshness.verifiedAt.IsZero() || s.proposals.hasUnresolvedCommit() {
		return -1
	}
	return s.now.Sub(s.freshness.verifiedAt)
}

// hearFreshness takes a peer's answer to the heartbeat that was sent at sentAt as evidence.
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
