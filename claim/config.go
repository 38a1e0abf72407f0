package claim

import (
	"time"

	"bluebellhold/id"
)

// Config describes a Book; zero values give the defaults.
type Config struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	// Seed and the two names above determine the claimant ids. Two processes must not share all three.
	Seed uint64
	// Lifetime is how long a row is kept, by default 72 h.
	Lifetime time.Duration
	// DispatchLimit bounds the time from the send of the claim's write to the first byte, by default 30 s.
	DispatchTimeout time.Duration
	// RunLimit is how long after its dispatch deadline a request is reported as in progress, by default 2 min.
	RunTimeout time.Duration
	// AskInterval is after what time a caller should ask again for a request in progress, by default 1 s.
	RetryAfter time.Duration
	// GroupSize bounds the rows of one transaction, by default 128.
	BatchSize int
	// ScanLimit bounds the rows that are examined for expiry once a minute, by default 500.
	ScanLimit int
	// InlineLimit is the largest body kept in the row, by default 8 KiB; larger ones go to the object store.
	InlineLimit id.Bytes
}

const (
	// The margin covers differences between the clocks of the instance that wrote a row and the one that clears it.
	clockSkewMargin = 24 * time.Hour
	scanInterval    = time.Minute
	// An answer whose object cannot be written for this long is stored without its body, so that a body that the
	// store rejects does not stay in memory for ever.
	bodyWriteTimeout = 10 * time.Minute
	// The first retry after a failure is immediate, because a single lost answer is the common case.
	backoffBase = 50 * time.Millisecond
	backoffMax  = time.Second
	// A read that succeeds does not show that writes succeed, so only time or a write ends the backoff.
	backoffResetAfter = 10 * time.Second
)

func (c Config) withDefaults() Config {
	c.Lifetime = durationOr(c.Lifetime, 72*time.Hour)
	c.DispatchTimeout = durationOr(c.DispatchTimeout, 30*time.Second)
	c.RunTimeout = durationOr(c.RunTimeout, 2*time.Minute)
	c.RetryAfter = durationOr(c.RetryAfter, time.Second)
	if c.BatchSize <= 0 {
		c.BatchSize = 128
	}
	if c.ScanLimit <= 0 {
		c.ScanLimit = 500
	}
	if c.InlineLimit <= 0 {
		c.InlineLimit = 8 << 10
	}
	return c
}

func durationOr(d, fallback time.Duration) time.Duration {
	if d <= 0 {
		return fallback
	}
	return d
}
