package allotment

import (
	"time"

	"bluebellhold/id"
)

// windowBuckets is the number of buckets into which a window is divided. A bucket is dropped only when all of it has
// left the window, so tokens stay counted for up to a tenth longer than the window.
const windowBuckets = 10

// SlidingWindow limits what one instance spends within any window of a given length, with a sliding-window counter.
//
// It needs no coordination: as long as the limits of all instances add up to the fleet's limit, the sum over any window
// stays within it, also while instances are partitioned, killed or paused. Time is that of the monotonic clock, which
// does not advance while a machine is suspended.
type SlidingWindow struct {
	limit       id.Tokens
	bucketWidth time.Duration
	buckets     [windowBuckets + 1]float64
	total       float64
	// latestBucket is the number of the newest bucket, counted from origin.
	latestBucket int64
	origin       time.Time
}

// SetLimit changes the limit and the length of the window; spent tokens stay counted.
func (s *SlidingWindow) SetLimit(now time.Time, limit id.Tokens, window time.Duration) {
	if s.origin.IsZero() {
		s.origin = now
	}
	s.limit, s.bucketWidth = limit, max(window/windowBuckets, 1)
}

// AssumeSpent counts the tokens that a terminated predecessor may have spent within its last window, spread evenly.
func (s *SlidingWindow) AssumeSpent(now time.Time, spent id.Tokens) {
	s.advance(now)
	for i := int64(1); i <= windowBuckets; i++ {
		s.buckets[(s.latestBucket+i)%int64(len(s.buckets))] += float64(spent) / windowBuckets
	}
	s.total += float64(spent)
}

// Take spends one token if the limit allows it.
func (s *SlidingWindow) Take(now time.Time) bool {
	s.advance(now)
	if s.total+1 > float64(s.limit) {
		return false
	}
	s.buckets[s.latestBucket%int64(len(s.buckets))]++
	s.total++
	return true
}

// Limit returns the tokens that may be spent within a window.
func (s *SlidingWindow) Limit() id.Tokens { return s.limit }

// NextTokenAt returns when the next token can be taken, or a time beyond a whole window if the limit is below one
// token.
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

// advance drops the buckets that have left the window.
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
