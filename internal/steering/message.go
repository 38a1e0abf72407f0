package steering

import (
	"time"

	"bluebellhold/allotment"
	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

// encodeLedgerMessage converts a message of the ledger to its wire form.
func encodeLedgerMessage(m allotment.Message) *wire.Envelope {
	switch m := m.(type) {
	case allotment.LoanRequest:
		return &wire.Envelope{Payload: &wire.Envelope_LoanRequest{LoanRequest: &wire.LoanRequest{
			Id: m.ID, Incarnation: uint64(m.Incarnation), Limit: string(m.Limit), Amount: float64(m.Amount),
		}}}
	case allotment.LoanReply:
		return &wire.Envelope{Payload: &wire.Envelope_LoanReply{LoanReply: &wire.LoanReply{
			Id: m.ID, Limit: string(m.Limit), Amount: float64(m.Amount), Term: int64(m.Term),
		}}}
	case allotment.LoanReturn:
		return &wire.Envelope{Payload: &wire.Envelope_LoanReturn{LoanReturn: &wire.LoanReturn{
			Id: m.ID, Limit: string(m.Limit), Amount: float64(m.Amount),
		}}}
	case allotment.PromiseRequest:
		return &wire.Envelope{Payload: &wire.Envelope_PromiseRequest{PromiseRequest: &wire.PromiseRequest{
			Id: m.ID, Incarnation: uint64(m.Incarnation),
		}}}
	case allotment.Promise:
		return &wire.Envelope{Payload: &wire.Envelope_Promise{Promise: &wire.Promise{Id: m.ID, Term: int64(m.Term)}}}
	default:
		panic("steering: the ledger sent a message of an unknown type")
	}
}

// decodeLedgerMessage converts the wire form to a message of the ledger; it returns false for any other message.
func decodeLedgerMessage(e *wire.Envelope) (allotment.Message, bool) {
	switch m := e.GetPayload().(type) {
	case *wire.Envelope_LoanRequest:
		l := m.LoanRequest
		return allotment.LoanRequest{
			ID: l.GetId(), Incarnation: id.Incarnation(l.GetIncarnation()),
			Limit: id.Limit(l.GetLimit()), Amount: id.Tokens(l.GetAmount()),
		}, true
	case *wire.Envelope_LoanReply:
		l := m.LoanReply
		return allotment.LoanReply{
			ID: l.GetId(), Limit: id.Limit(l.GetLimit()), Amount: id.Tokens(l.GetAmount()),
			Term: time.Duration(l.GetTerm()),
		}, true
	case *wire.Envelope_LoanReturn:
		l := m.LoanReturn
		return allotment.LoanReturn{
			ID: l.GetId(), Limit: id.Limit(l.GetLimit()), Amount: id.Tokens(l.GetAmount()),
		}, true
	case *wire.Envelope_PromiseRequest:
		p := m.PromiseRequest
		return allotment.PromiseRequest{ID: p.GetId(), Incarnation: id.Incarnation(p.GetIncarnation())}, true
	case *wire.Envelope_Promise:
		return allotment.Promise{ID: m.Promise.GetId(), Term: time.Duration(m.Promise.GetTerm())}, true
	default:
		return nil, false
	}
}
