package claim

import (
	"time"

	"bluebellhold/id"
)

// Config configures a Tracker; zero values give the defaults.
type Config struct {
	Instance    id.Instance
	Incarnation id.Incarnation
	// Seed, Instance and Incarnation determine the claimant ids. Two processes must not share all three.
	Seed uint64
	// Lifetime is the time after which a row expires, by default 72 h.
	Lifetime time.Duration
	// DispatchTimeout limits the time from sending the claim's write to the request's first byte, by default 30 s.
	DispatchTimeout time.Duration
	// RunTimeout is how long after its dispatch deadline a claimed request is reported as in progress, by default 2 min.
	RunTimeout time.Duration
	// RetryAfter is the delay after which a caller should retry a request that is in progress, by default 1 s.
	RetryAfter time.Duration
	// BatchSize limits the rows of one transaction, by default 128.
	BatchSize int
	// ScanLimit limits the rows that are examined for expiry once a minute, by default 500.
	ScanLimit int
	// InlineLimit is the maximum size of a body that is stored in the row, by default 8 KiB; larger bodies are stored as
	// objects.
	InlineLimit id.Bytes
}

const (
	// clockSkewMargin covers the skew between the clocks of the instance that wrote a row and the one that purges it.
	clockSkewMargin = 24 * time.Hour
	scanInterval    = time.Minute
	// After bodyWriteTimeout a response whose object cannot be written is stored without its body, so that a body that
	// the store rejects does not stay in memory for ever.
	bodyWriteTimeout = 10 * time.Minute
	// The first retry of a table call is immediate, because a single lost result is the common case.
	backoffBase = 50 * time.Millisecond
	backoffMax  = time.Second
	// A successful read does not show that writes succeed, so only a successful write or this time without a failure
	// resets the backoff.
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
