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

	// A loan lasts for several round trips between regions (110 ms). Longer loans would delay a successor process,
	// which refills no tokens until all loans of its predecessor have ended.
	defaultLoanTerm = time.Second
)

// Config configures a Ledger.
type Config struct {
	// Self is this instance. Only one process at a time can have its address bound.
	Self Member
	// Incarnation identifies this process among all that run under the same instance name.
	Incarnation id.Incarnation
	// LeaseTerm is how long a renewal alone keeps the lease valid; zero means 6 s.
	LeaseTerm time.Duration
	// MaxLeaseTerm is how long after the last renewal promises can keep the lease valid, and after which any instance
	// may reclaim it; zero means 20 min.
	MaxLeaseTerm time.Duration
	// RenewInterval is the time between renewals of the lease; zero means 2 s.
	RenewInterval time.Duration
	// LoanTerm is the maximum duration of a loan; zero means 1 s.
	LoanTerm time.Duration
	// MaxClockDriftPercent bounds how far the rates of two clocks of the fleet diverge; zero means 1.
	MaxClockDriftPercent int
	// Seed seeds the generator of message ids and jitter.
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

// shortenByDrift returns a duration that ends on this clock before d has passed on any other clock of the fleet.
func (c Config) shortenByDrift(d time.Duration) time.Duration {
	return d - d*time.Duration(c.MaxClockDriftPercent)/100
}

// Member is one instance of the fleet in this instance's view of the membership.
type Member struct {
	Instance id.Instance `json:"instance"`
	Region   id.Region   `json:"region"`
	Address  string      `json:"address"`
	Live     bool        `json:"live"`
}

// Limit is a limit that applies to all instances together.
//
// If Region is set, live members of that region are the preferred home instances.
type Limit struct {
	ID     id.Limit
	Amount LimitAmount
	Region id.Region
}

// LimitAmount is Rate or Concurrency.
type LimitAmount interface {
	limitAmount()
}

// Rate limits the tokens spent within any window to the burst plus the rate times the window's length.
type Rate struct {
	Rate  id.TokensPerSecond
	Burst id.Tokens
}

// Concurrency limits the slots that are in use at the same time.
type Concurrency struct {
	Slots id.Slots
}

func (Rate) limitAmount()        {}
func (Concurrency) limitAmount() {}
