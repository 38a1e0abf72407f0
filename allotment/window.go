package allotment

import (
	"time"

	"bluebellhold/id"
)

// shareSlots is the number of counters into which a window is divided. A counter is dropped only when all of it has
// left the window, so a share binds for a tenth longer than its window.
const windowBuckets = 10

// Share is one instance's part of what all instances together may spend within any span of a given length.
//
// No message and no row carries it: as long as the parts of all instances add up to the whole, the sum over any window
// stays within it, also while instances are cut off, killed or paused. Time is that of the monotonic clock, which
// stands still while a machine is suspended.
type SlidingWindow struct {
	limit       id.Tokens
	bucketWidth time.Duration
	buckets     [windowBuckets + 1]float64
	total       float64
	// latest is the number of the newest counter.
	latestBucket int64
	origin       time.Time
}

// Set changes the part and the length of the window; what has been spent stays counted.
func (s *SlidingWindow) SetLimit(now time.Time, limit id.Tokens, window time.Duration) {
	if s.origin.IsZero() {
		s.origin = now
	}
	s.limit, s.bucketWidth = limit, max(window/windowBuckets, 1)
}

// Assume counts as spent what a predecessor that has ended may have spent within its last window.
func (s *SlidingWindow) AssumeSpent(now time.Time, spent id.Tokens) {
	s.advance(now)
	for i := int64(1); i <= windowBuckets; i++ {
		s.buckets[(s.latestBucket+i)%int64(len(s.buckets))] += float64(spent) / windowBuckets
	}
	s.total += float64(spent)
}

// Spending returns the tokens spent in the parts of the current window, the newest last.
func (s *SlidingWindow) BucketCounts(now time.Time) []id.Tokens {
	s.advance(now)
	var counts []id.Tokens
	for i := int64(1); i <= int64(len(s.buckets)); i++ {
		count := id.Tokens(s.buckets[(s.latestBucket+i)%int64(len(s.buckets))])
		if count > 0 || len(counts) > 0 {
			counts = append(counts, count)
		}
	}
	return counts
}

// Restore counts the spending of a predecessor that has ended, as if it had ended just now, and tokens that it may have
// spent since it told.
func (s *SlidingWindow) Restore(now time.Time, counts []id.Tokens, unreported id.Tokens) {
	s.advance(now)
	add := func(age int, count id.Tokens) {
		if age < len(s.buckets) {
			s.buckets[(s.latestBucket+int64(len(s.buckets)-age))%int64(len(s.buckets))] += float64(count)
			s.total += float64(count)
		}
	}
	for i, count := range counts {
		add(len(counts)-1-i, count)
	}
	add(0, unreported)
}

// Take spends one token if the part allows it.
func (s *SlidingWindow) Take(now time.Time) bool {
	s.advance(now)
	if s.total+1 > float64(s.limit) {
		return false
	}
	s.buckets[s.latestBucket%int64(len(s.buckets))]++
	s.total++
	return true
}

// Spent returns the tokens spent within the current window.
func (s *SlidingWindow) Spent(now time.Time) id.Tokens {
	s.advance(now)
	return id.Tokens(s.total)
}

// Part returns what may be spent within a window.
func (s *SlidingWindow) Limit() id.Tokens { return s.limit }

// NextAt returns when the next token can be taken, and a time beyond a whole window if the part is below one token.
func (s *SlidingWindow) NextTokenAt(now time.Time) time.Time {
	s.advance(now)
	excess := s.total + 1 - float64(s.limit)
	for i := int64(1); i <= int64(len(s.buckets)); i++ {
		if excess <= 0 {
			return now.Add(time.Duration(i-1) * s.bucketWidth)
		}
		excess -= s.buckets[(s.latestBucket+i)%int64(len(s.buckets))]
	}
	return now.Add(time.Duration(len(s.buckets)) * s.bucketWidth)
}

// roll drops the counters that have left the window.
func (s *SlidingWindow) advance(now time.Time) {
	if s.origin.IsZero() {
		s.origin = now
	}
	bucket := int64(now.Sub(s.origin) / max(s.bucketWidth, 1))
	if bucket-s.latestBucket >= int64(len(s.buckets)) {
		s.buckets = [windowBuckets + 1]float64{}
		s.total, s.latestBucket = 0, bucket
	}
	for s.latestBucket < bucket {
		s.latestBucket++
		index := s.latestBucket % int64(len(s.buckets))
		s.total -= s.buckets[index]
		s.buckets[index] = 0
	}
}
