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
const budgetSlots = 10

// Budget bounds retries to a share of the first attempts in a sliding window, so that retries cannot multiply the
// load on upstreams that already fail.
type Budget struct {
	config BudgetConfig
	width  time.Duration
	// slots holds the counts of the latest slots, at their number modulo the length.
	slots  [budgetSlots]budgetSlot
	latest int64
}

type budgetSlot struct {
	firsts, retries int
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
	return &Budget{config: config, width: max(config.Window/budgetSlots, 1)}
}

// RecordFirstAttempt counts a first attempt.
func (b *Budget) RecordFirstAttempt(now time.Time) {
	b.slot(now).firsts++
}

// Take counts a retry and reports true if the budget allows one more.
func (b *Budget) Take(now time.Time) bool {
	current := b.slot(now)
	var total budgetSlot
	for _, s := range b.slots {
		total.firsts += s.firsts
		total.retries += s.retries
	}
	if total.retries >= max(b.config.MinRetries, int(b.config.Ratio*float64(total.firsts))) {
		return false
	}
	current.retries++
	return true
}

// slot returns the current slot after it has emptied those that left the window. A clock that steps back counts in
// the latest slot.
func (b *Budget) slot(now time.Time) *budgetSlot {
	number := now.UnixNano() / int64(b.width)
	if number-b.latest >= budgetSlots {
		b.slots = [budgetSlots]budgetSlot{}
		b.latest = number
	}
	for b.latest < number {
		b.latest++
		b.slots[b.latest%budgetSlots] = budgetSlot{}
	}
	return &b.slots[b.latest%budgetSlots]
}
