package steering

import (
	"time"

	"bluebellhold/fleet"
	"bluebellhold/id"
)

const (
	// freshFor is how long evidence that the epoch is the newest counts; it bounds the time that a withdrawn key
	// still works at an instance that is cut off.
	freshFor = 3 * time.Second
	// readAfter is the age of evidence from which an instance reads the head itself.
	readAfter = time.Second
)

// freshness is what an instance knows about whether its epoch is the newest.
type freshness struct {
	// evidence is the newest time at which the epoch in force was known to be the newest.
	evidence time.Time
	until    time.Time
	// pending is the evidence that counts once the epoch that the instance has heard of is in force.
	pending      time.Time
	storeDown    bool
	headFailedAt time.Time
}

func (f *freshness) isFresh(now time.Time) bool { return now.Before(f.until) }

func (f *freshness) needsRead(now time.Time) bool {
	return f.storeDown || f.evidence.IsZero() || now.Sub(f.evidence) >= readAfter
}

func (f *freshness) learn(evidence time.Time) {
	if evidence.After(f.evidence) {
		f.evidence = evidence
		f.until = evidence.Add(freshFor)
	}
}

func (f *freshness) headFailed(now time.Time) {
	f.storeDown = true
	f.headFailedAt = now
}

// couldNotRead reports whether the store was down for this instance at its last, recent read of the head.
func (f *freshness) couldNotRead(now time.Time) bool {
	return f.storeDown && now.Sub(f.headFailedAt) < freshFor
}

// checkFreshness takes the word of all other members as evidence while the store is down.
//
// If no member could read the head and none knows a newer epoch or is writing one, then none was accepted before the
// oldest of these words: an epoch is only accepted by a member that reaches the store. A member that is not heard
// keeps the evidence from counting, because it may be on the other side of a cut together with the store.
func (s *State) checkFreshness() {
	if !s.fresh.couldNotRead(s.now) || !s.isListed || s.proposals.isWriting() {
		return
	}
	oldest := s.fresh.headFailedAt
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
	if s.epochs.heard.Epoch <= s.epochs.current.Epoch {
		s.fresh.learn(oldest)
	}
}

// evidenceAge returns how old the evidence is that this instance can pass on, or -1 for none.
func (s *State) evidenceAge() time.Duration {
	if s.fresh.evidence.IsZero() || s.proposals.isWriting() {
		return -1
	}
	return s.now.Sub(s.fresh.evidence)
}

// hearFreshness takes a peer's answer to the heartbeat that was sent at sentAt as evidence.
func (s *State) hearFreshness(p *peer, epoch id.Epoch, age time.Duration, storeDown bool, sentAt time.Time) {
	if epoch > s.epochs.current.Epoch {
		return
	}
	if storeDown {
		p.confirmedAt = sentAt
	}
	if epoch == s.epochs.current.Epoch && age >= 0 && !storeDown {
		s.fresh.learn(sentAt.Add(-age))
	}
}
