package allotment

import (
	"time"

	"bluebellhold/id"
)

// shareSlots is the number of counters into which a window is divided. A counter is dropped only when all of it has
// left the window, so a share binds for a tenth longer than its window.
const shareSlots = 10

// Share is one instance's part of what all instances together may spend within any span of a given length.
//
// No message and no row carries it: as long as the parts of all instances add up to the whole, the sum over any window
// stays within it, also while instances are cut off, killed or paused. Time is that of the monotonic clock, which
// stands still while a machine is suspended.
type SlidingWindow struct {
	most   id.Tokens
	width  time.Duration
	counts [shareSlots + 1]float64
	total  float64
	// latest is the number of the newest counter.
	latest int64
	origin time.Time
}

// Set changes the part and the length of the window; what has been spent stays counted.
func (s *SlidingWindow) SetLimit(now time.Time, most id.Tokens, span time.Duration) {
	if s.origin.IsZero() {
		s.origin = now
	}
	s.most, s.width = most, max(span/shareSlots, 1)
}

// Assume counts as spent what a predecessor that has ended may have spent within its last window.
func (s *SlidingWindow) AssumeSpent(now time.Time, spent id.Tokens) {
	s.roll(now)
	for i := int64(1); i <= shareSlots; i++ {
		s.counts[(s.latest+i)%int64(len(s.counts))] += float64(spent) / shareSlots
	}
	s.total += float64(spent)
}

// Spending returns the tokens spent in the parts of the current window, the newest last.
func (s *SlidingWindow) BucketCounts(now time.Time) []id.Tokens {
	s.roll(now)
	var out []id.Tokens
	for i := int64(1); i <= int64(len(s.counts)); i++ {
		count := id.Tokens(s.counts[(s.latest+i)%int64(len(s.counts))])
		if count > 0 || len(out) > 0 {
			out = append(out, count)
		}
	}
	return out
}

// Restore counts the spending of a predecessor that has ended, as if it had ended just now, and tokens that it may have
// spent since it told.
func (s *SlidingWindow) Restore(now time.Time, spending []id.Tokens, since id.Tokens) {
	s.roll(now)
	add := func(age int, count id.Tokens) {
		if age < len(s.counts) {
			s.counts[(s.latest+int64(len(s.counts)-age))%int64(len(s.counts))] += float64(count)
			s.total += float64(count)
		}
	}
	for i, count := range spending {
		add(len(spending)-1-i, count)
	}
	add(0, since)
}

// Take spends one token if the part allows it.
func (s *SlidingWindow) Take(now time.Time) bool {
	s.roll(now)
	if s.total+1 > float64(s.most) {
		return false
	}
	s.counts[s.latest%int64(len(s.counts))]++
	s.total++
	return true
}

// Spent returns the tokens spent within the current window.
func (s *SlidingWindow) Spent(now time.Time) id.Tokens {
	s.roll(now)
	return id.Tokens(s.total)
}

// Part returns what may be spent within a window.
func (s *SlidingWindow) Limit() id.Tokens { return s.most }

// NextAt returns when the next token can be taken, and a time beyond a whole window if the part is below one token.
func (s *SlidingWindow) NextTokenAt(now time.Time) time.Time {
	s.roll(now)
	left := s.total + 1 - float64(s.most)
	for i := int64(1); i <= int64(len(s.counts)); i++ {
		if left <= 0 {
			return now.Add(time.Duration(i-1) * s.width)
		}
		left -= s.counts[(s.latest+i)%int64(len(s.counts))]
	}
	return now.Add(time.Duration(len(s.counts)) * s.width)
}

// roll drops the counters that have left the window.
func (s *SlidingWindow) roll(now time.Time) {
	if s.origin.IsZero() {
		s.origin = now
	}
	number := int64(now.Sub(s.origin) / max(s.width, 1))
	if number-s.latest >= int64(len(s.counts)) {
		s.counts = [shareSlots + 1]float64{}
		s.total, s.latest = 0, number
	}
	for s.latest < number {
		s.latest++
		slot := s.latest % int64(len(s.counts))
		s.total -= s.counts[slot]
		s.counts[slot] = 0
	}
}
