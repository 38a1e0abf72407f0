package retry

import "time"

// BudgetConfig describes a Budget; zero values give the defaults.
type BudgetConfig struct {
	// Ratio is the largest number of retries per first attempt, by default a tenth.
	Ratio float64
	// MinRetries is the number of retries per window that are allowed whatever the traffic, by default 3.
	MinRetries int
	// Window is the length of the sliding window, by default 10 s.
	Window time.Duration
}

// budgetSlots is the number of counters into which the window is divided.
const budgetBuckets = 10

// Budget bounds retries to a share of the first attempts in a sliding window, so that retries cannot multiply the
// load on upstreams that already fail.
type Budget struct {
	config      BudgetConfig
	bucketWidth time.Duration
	// slots holds the counts of the latest slots, at their number modulo the length.
	buckets [budgetBuckets]budgetBucket
	latest  int64
}

type budgetBucket struct {
	firstAttempts, retries int
}

// NewBudget returns a Budget that has seen no attempts.
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

// Take counts a retry and reports true if the budget allows one more.
func (b *Budget) Take(now time.Time) bool {
	current := b.currentBucket(now)
	var total budgetBucket
	for _, bucket := range b.buckets {
		total.firstAttempts += bucket.firstAttempts
		total.retries += bucket.retries
	}
	if total.retries >= max(b.config.MinRetries, int(b.config.Ratio*float64(total.firstAttempts))) {
		return false
	}
	current.retries++
	return true
}

// slot returns the current slot after it has emptied those that left the window. A clock that steps back counts in
// the latest slot.
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
