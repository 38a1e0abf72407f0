package allotment

import (
	"time"

	"bluebellhold/id"
)

const (
	defaultLeaseTerm            = 6 * time.Second
	defaultMaxLeaseTerm         = 20 * time.Minute
	defaultRenewInterval        = 2 * time.Second
	defaultMaxClockDriftPercent = 1

	// A loan outlives several round trips between regions (110 ms). Longer loans would delay a successor process,
	// which accrues no tokens until all loans of its predecessor have ended.
	defaultLoanTerm = time.Second
)

// Config configures a Ledger.
type Config struct {
	// Self is this instance. Its address is the one that only one process can have bound at a time.
	Self Member
	// Incarnation tells this process from all others that run under the same instance name.
	Incarnation id.Incarnation
	// Term is how long a renewal of the lease gives authority to spend; zero means 6 s.
	LeaseTerm time.Duration
	// LongTerm bounds the authority by promises since the last renewal; zero means 20 min.
	MaxLeaseTerm time.Duration
	// RenewEvery is the time between renewals of the lease; zero means 2 s.
	RenewInterval time.Duration
	// LoanTerm is the longest time that a loan lasts; zero means 1 s.
	LoanTerm time.Duration
	// DriftPercent bounds how far two clocks of the fleet diverge; zero means 1.
	MaxClockDriftPercent int
	// Seed starts the generator for message ids and jitter.
	Seed uint64
}

func (c Config) withDefaults() Config {
	if c.LeaseTerm == 0 {
		c.LeaseTerm = defaultLeaseTerm
	}
	if c.MaxLeaseTerm == 0 {
		c.MaxLeaseTerm = defaultMaxLeaseTerm
	}
	if c.RenewInterval == 0 {
		c.RenewInterval = defaultRenewInterval
	}
	if c.LoanTerm == 0 {
		c.LoanTerm = defaultLoanTerm
	}
	if c.MaxClockDriftPercent == 0 {
		c.MaxClockDriftPercent = defaultMaxClockDriftPercent
	}
	return c
}

// shorten returns the part of d that has certainly not passed on another clock after d has passed on this one.
func (c Config) shortenByDrift(d time.Duration) time.Duration {
	return d - d*time.Duration(c.MaxClockDriftPercent)/100
}

// Member is one instance of the fleet as the caller sees it.
type Member struct {
	Instance id.Instance `json:"instance"`
	Region   id.Region   `json:"region"`
	Address  string      `json:"address"`
	Live     bool        `json:"live"`
}

// Limit is a limit that holds across all instances together.
//
// With a region, live members of that region are the preferred home instances.
type Limit struct {
	ID     id.Limit
	Amount LimitAmount
	Region id.Region
}

// LimitAmount is Rate or Concurrent.
type LimitAmount interface {
	limitAmount()
}

// Rate limits tokens over any window to the burst plus the rate times the window's length.
type Rate struct {
	Rate  id.TokensPerSecond
	Burst id.Tokens
}

// Concurrent limits the slots that are in use at the same time.
type Concurrency struct {
	Slots id.Slots
}

func (Rate) limitAmount()        {}
func (Concurrency) limitAmount() {}
