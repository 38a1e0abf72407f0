package allotment

import (
	"time"

	"bluebellhold/id"
)

// Message is a message between ledgers. Messages carry durations, not times, because clocks differ.
type Message interface {
	message()
}

// LoanRequest requests a loan of tokens or slots from a home instance.
type LoanRequest struct {
	ID          uint64
	Incarnation id.Incarnation
	Limit       id.Limit
	Amount      id.Tokens
}

// LoanReply grants a loan; amount 0 refuses it.
//
// Term is the remaining time of the loan at the creation of the reply. A lender repeats the reply with term 0 to query
// whether the slots of an overdue loan are still in use.
type LoanReply struct {
	ID     uint64
	Limit  id.Limit
	Amount id.Tokens
	Term   time.Duration
}

// LoanReturn ends a loan and returns its unspent amount.
type LoanReturn struct {
	ID     uint64
	Limit  id.Limit
	Amount id.Tokens
}

// PromiseRequest requests a promise from the witness not to reclaim the sender's lease.
type PromiseRequest struct {
	ID          uint64
	Incarnation id.Incarnation
}

// Promise guarantees that the witness does not reclaim the receiver's lease for the term; term 0 refuses.
type Promise struct {
	ID   uint64
	Term time.Duration
}

func (LoanRequest) message()    {}
func (LoanReply) message()      {}
func (LoanReturn) message()     {}
func (PromiseRequest) message() {}
func (Promise) message()        {}
