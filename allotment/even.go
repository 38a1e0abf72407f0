package allotment

import (
	"time"

	"bluebellhold/id"
)

// Window bounds what all instances together may spend within any span of its length.
type Window struct {
	// Most is the largest sum of tokens spent within Span.
	Most id.Tokens
	Span time.Duration
	// Burst is the part of Most that may be spent at once; the rest refills evenly over Span.
	Burst id.Tokens
}

// Even is one instance's equal part of a fleet-wide window, held without any message.
//
// All instances hold a part of the same size, so the sum stays within the window while instances are cut off, killed
// or paused. A new Even is empty: a process that was restarted cannot spend what its predecessor has already spent.
// The bucket refills by the monotonic clock, which stands still while a machine is suspended.
type Even struct {
	rate   id.TokensPerSecond
	burst  id.Tokens
	tokens id.Tokens
	at     time.Time
}

// Set changes the window and the number of instances that share it; tokens in hand stay up to the new burst.
func (e *Even) Set(now time.Time, w Window, instances int) {
	e.refill(now)
	n := id.Tokens(max(instances, 1))
	// A part below one token would never admit anything.
	e.burst = max(min(w.Burst, w.Most)/n, 1)
	e.rate = id.TokensPerSecond(max(float64(w.Most/n-e.burst)/w.Span.Seconds(), 0))
	e.tokens = min(e.tokens, e.burst)
}

// Take spends one token if there is one.
func (e *Even) Take(now time.Time) bool {
	e.refill(now)
	if e.tokens < 1 {
		return false
	}
	e.tokens--
	return true
}

// Return gives back a token that was taken for work that has not been sent.
func (e *Even) Return() {
	e.tokens = min(e.tokens+1, e.burst)
}

// NextAt returns when the next token is there.
func (e *Even) NextAt(now time.Time) time.Time {
	e.refill(now)
	if e.tokens >= 1 {
		return now
	}
	if e.rate <= 0 {
		return now.Add(time.Minute)
	}
	return now.Add(time.Duration(float64(1-e.tokens) / float64(e.rate) * float64(time.Second)))
}

func (e *Even) refill(now time.Time) {
	if !e.at.IsZero() {
		e.tokens = min(e.burst, e.tokens+id.Tokens(float64(e.rate)*max(now.Sub(e.at).Seconds(), 0)))
	}
	e.at = now
}
