package allotment

import (
	"time"

	"bluebellhold/id"
)

// Message is what ledgers send to each other. Messages carry durations because clocks differ.
type Message interface {
	message()
}

// LoanRequest asks a home instance for tokens or slots.
type LoanRequest struct {
	ID          uint64
	Incarnation id.Incarnation
	Limit       id.Limit
	Amount      id.Tokens
}

// LoanReply grants a loan; amount 0 refuses it.
//
// Term is the remaining time of the loan from the making of the reply. A lender repeats the reply with term 0 to ask
// whether the slots of an overdue loan are still in use.
type LoanReply struct {
	ID     uint64
	Limit  id.Limit
	Amount id.Tokens
	Term   time.Duration
}

// LoanReturn ends a loan and gives back its unspent amount.
type LoanReturn struct {
	ID     uint64
	Limit  id.Limit
	Amount id.Tokens
}

// PromiseRequest asks the witness not to reclaim the sender's shares.
type PromiseRequest struct {
	ID          uint64
	Incarnation id.Incarnation
}

// Promise assures that the witness does not reclaim for the term; term 0 refuses.
type Promise struct {
	ID   uint64
	Term time.Duration
}

func (LoanRequest) message()    {}
func (LoanReply) message()      {}
func (LoanReturn) message()     {}
func (PromiseRequest) message() {}
func (Promise) message()        {}
