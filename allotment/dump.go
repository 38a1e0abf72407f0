package allotment

import (
	"time"

	"bluebellhold/id"
)

// Dump is a snapshot of a Ledger for operators.
type Dump struct {
	Instance            id.Instance    `json:"instance"`
	Incarnation         id.Incarnation `json:"incarnation"`
	LeaseHeld           bool           `json:"held"`
	LeaseExpiry         time.Time      `json:"until"`
	Witness             id.Instance    `json:"witness"`
	WitnessReady        bool           `json:"witnessed"` // the witness has read the lease row, so it can give promises
	PendingTransactions int            `json:"unresolved"`
	Released            bool           `json:"released"`
	Limits              []LimitDump    `json:"limits"`
}

// LimitDump is a snapshot of one limit.
//
// Capacity is the burst or the slots of this instance's effective parts.
type LimitDump struct {
	Limit    id.Limit      `json:"limit"`
	Homes    []id.Instance `json:"homes"`
	Parts    id.Parts      `json:"parts"`
	Target   id.Parts      `json:"target"`
	Capacity id.Tokens     `json:"whole"`
	Tokens   id.Tokens     `json:"tokens"`
	Used     id.Tokens     `json:"used"`
	Lent     id.Tokens     `json:"lent"`
	Borrowed []LoanDump    `json:"borrowed"`
	Error    string        `json:"error,omitempty"`
}

// LoanDump is one borrowed amount.
type LoanDump struct {
	ID       uint64      `json:"id"`
	Lender   id.Instance `json:"lender"`
	Amount   id.Tokens   `json:"amount"`
	Deadline time.Time   `json:"deadline"`
}

// Dump returns a snapshot of the ledger. Tokens are as of the last refill of each limit.
func (l *Ledger) Dump() Dump {
	d := Dump{
		Instance:            l.config.Self.Instance,
		Incarnation:         l.config.Incarnation,
		LeaseHeld:           l.lease.held,
		LeaseExpiry:         l.leaseExpiry,
		Witness:             l.lease.witness,
		WitnessReady:        l.lease.witnessReady,
		PendingTransactions: len(l.pendingTransactions),
		Released:            l.released,
	}
	for _, a := range l.sortedAccounts {
		d.Limits = append(d.Limits, a.dump())
	}
	return d
}

func (a *account) dump() LimitDump {
	d := LimitDump{
		Limit: a.limit.ID, Homes: a.homes, Parts: a.confirmedParts, Target: a.targetParts,
		Capacity: a.capacity, Tokens: a.tokens, Used: a.used, Lent: a.lent,
	}
	if a.rowErr != nil {
		d.Error = a.rowErr.Error()
	}
	for _, b := range a.borrowedLoans {
		d.Borrowed = append(d.Borrowed, LoanDump{ID: b.id, Lender: b.lender, Amount: b.remaining, Deadline: b.deadline})
	}
	return d
}
