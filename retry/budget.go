package retry

import (
	"math"
	"time"
)

// BudgetConfig configures a Budget; zero values give the defaults.
type BudgetConfig struct {
	// Ratio is the maximum ratio of retries to first attempts, by default a tenth.
	Ratio float64
	// MinRetries is the number of retries per window that are allowed regardless of traffic, by default 3.
	MinRetries int
	// Window is the length of the sliding window, by default 10 s.
	Window time.Duration
}

// budgetBuckets is the number of buckets into which the sliding window is divided.
const budgetBuckets = 10

// Budget limits retries to a fraction of the first attempts in a sliding window, so that retries do not multiply the
// load on upstreams that already fail.
type Budget struct {
	config      BudgetConfig
	bucketWidth time.Duration
	// buckets is a ring of the latest buckets, indexed by their number modulo the length.
	buckets [budgetBuckets]budgetBucket
	latest  int64
}

type budgetBucket struct {
	firstAttempts, retries int
}

// NewBudget returns a Budget without recorded attempts.
func NewBudget(config BudgetConfig) *Budget {
	if config.Ratio <= 0 {
		config.Ratio = 0.1
	}
	if config.MinRetries <= 0 {
		config.MinRetries = 3
	}
	if config.Window <= 0 {
		config.Window = 10 * time.Second
	}
	return &Budget{config: config, bucketWidth: max(config.Window/budgetBuckets, 1)}
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.currentBucket(now).firstAttempts++
}

// Take reports whether the budget allows one more retry, and counts it if so.
func (b *Budget) Take(now time.Time) bool {
	if !b.Allows(now, 1) {
		return false
	}
	b.currentBucket(now).retries++
	return true
}

// Allows reports whether the given fraction of the budget allows one more retry, without counting it.
func (b *Budget) Allows(now time.Time, fraction float64) bool {
	b.currentBucket(now)
	var total budgetBucket
	for _, bucket := range b.buckets {
		total.firstAttempts += bucket.firstAttempts
		total.retries += bucket.retries
	}
	allowed := max(float64(b.config.MinRetries), math.Floor(b.config.Ratio*float64(total.firstAttempts)))
	return float64(total.retries) < fraction*allowed
}

// currentBucket clears the buckets that left the window and returns the current one. If the clock steps back, that is
// the latest bucket.
func (b *Budget) currentBucket(now time.Time) *budgetBucket {
	bucket := now.UnixNano() / int64(b.bucketWidth)
	if bucket-b.latest >= budgetBuckets {
		b.buckets = [budgetBuckets]budgetBucket{}
		b.latest = bucket
	}
	for b.latest < bucket {
		b.latest++
		b.buckets[b.latest%budgetBuckets] = budgetBucket{}
	}
	return &b.buckets[b.latest%budgetBuckets]
}
