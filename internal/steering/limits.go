package steering

import (
	"slices"
	"sort"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/store"
)

const (
	// linkBurstSeconds is the burst of a link in seconds of its rate; it is small compared with the link's buffers.
	linkBurstSeconds = 0.1
	// minLinkBurst lets each home instance of a slow link hold the tokens for a chunk of 64 KiB.
	minLinkBurst id.Tokens = 1 << 20
)

func ledgerMember(m store.Member, live bool) allotment.Member {
	return allotment.Member{Instance: m.Instance, Region: m.Region, Address: m.Peer, Live: live}
}

// configureLimits passes all limits of the current configuration to the ledger.
func (s *State) configureLimits() {
	config := s.epochs.current
	var limits []allotment.Limit
	for name, o := range config.Organisations {
		limits = append(limits, rateLimit(organisationLimitID(name), o.Rate, o.Burst))
	}
	for name, shift := range config.Shifts {
		limits = append(limits, rateLimit(shiftLimitID(name), shift.Rate, shift.Burst))
	}
	for _, link := range config.Links {
		rate := id.TokensPerSecond(link.Rate)
		limits = append(limits, rateLimit(linkLimitID(link.From, link.To), rate,
			max(id.Tokens(rate)*linkBurstSeconds, minLinkBurst)))
	}
	limits = append(limits, s.slotLimits()...)
	sort.Slice(limits, func(i, j int) bool { return limits[i].ID < limits[j].ID })
	s.reduceLedger(allotment.LimitsChanged{Limits: limits})
}

func rateLimit(name id.Limit, rate id.TokensPerSecond, burst id.Tokens) allotment.Limit {
	return allotment.Limit{ID: name, Amount: allotment.Rate{Rate: rate, Burst: burst}}
}

// slotLimits returns a concurrency limit for each service and region: the slots of the upstreams that are not drained.
func (s *State) slotLimits() []allotment.Limit {
	config := s.epochs.current
	var limits []allotment.Limit
	for name := range config.Services {
		for region, n := range config.SlotsByRegion(name) {
			limits = append(limits, allotment.Limit{
				ID: slotLimitID(name, region), Amount: allotment.Concurrency{Slots: n}, Region: region,
			})
		}
	}
	return limits
}

func (s *State) configureOrganisations() {
	config := s.epochs.current
	for name := range config.Organisations {
		if s.organisations[name] == nil {
			s.organisations[name] = &organisation{id: name, limit: organisationLimitID(name)}
		}
	}
	for name, o := range s.organisations {
		if _, ok := config.Organisations[name]; ok || name == "" {
			continue
		}
		for _, r := range o.tokenWaiters {
			s.refuse(r, Refusal{Code: CodeInvalidKey, Outcome: NotRun})
		}
		o.tokenWaiters = nil
		delete(s.organisations, name)
	}
	if s.organisations[""] == nil {
		// Requests without a key on public routes count as those of one organisation in the queue.
		s.organisations[""] = &organisation{}
	}
}

// take takes n tokens or slots of a limit.
func (s *State) take(limit id.Limit, n id.Tokens) bool {
	ok, effects := s.ledger.Take(s.now, limit, n)
	if len(effects) > 0 {
		s.emitLedgerEffects(effects)
	}
	return ok
}

func (s *State) reduceLedger(e allotment.Event) {
	s.emitLedgerEffects(s.ledger.Reduce(s.now, e))
}

func (s *State) emitLedgerEffects(effects []allotment.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case allotment.Transact:
			s.emit(Transact{Call: Call{OwnerLedger, e.ID}, Transaction: e.Transaction})
		case allotment.ReadRows:
			s.emit(ReadRows{Call: Call{OwnerLedger, e.ID}, Names: e.Names})
		case allotment.Send:
			s.emit(Send{To: e.To, Message: encodeLedgerMessage(e.Message)})
		}
	}
}

func (s *State) reduceClaims(e claim.Event) {
	for _, effect := range s.claims.Reduce(s.now, e) {
		switch e := effect.(type) {
		case claim.Transact:
			s.emit(Transact{Call: Call{OwnerClaims, e.ID}, Transaction: e.Transaction})
		case claim.ReadRows:
			s.emit(ReadRows{Call: Call{OwnerClaims, e.ID}, Names: e.Names})
		case claim.ScanRows:
			s.emit(ScanRows{Call: Call{OwnerClaims, e.ID}, Prefix: e.Prefix, After: e.After, Limit: e.Limit})
		case claim.ReadObject:
			s.emit(ReadObject{Call: Call{OwnerClaims, e.ID}, Name: e.Name})
		case claim.WriteObject:
			s.emit(WriteObject{Call: Call{OwnerClaims, e.ID}, Name: e.Name, Body: e.Body})
		case claim.DeleteObject:
			s.emit(DeleteObject{Call: Call{OwnerClaims, e.ID}, Name: e.Name})
		case claim.Decided:
			s.handleClaimDecided(e)
		case claim.Settled:
			s.stop.unsettledClaims--
		}
	}
}

func (s *State) handleClaimObject(e ObjectDone) {
	if e.IsWrite {
		s.reduceClaims(claim.ObjectWritten{ID: e.Call.ID, Err: e.Err})
		return
	}
	s.reduceClaims(claim.ObjectRead{ID: e.Call.ID, Body: e.Body, Err: e.Err})
}

// retryTokenWaiters admits the requests that wait for a token of their organisation, the oldest first.
func (s *State) retryTokenWaiters() {
	s.tokenStarved = slices.DeleteFunc(s.tokenStarved, func(o *organisation) bool {
		s.admitTokenWaiters(o)
		return len(o.tokenWaiters) == 0
	})
}

func (s *State) admitTokenWaiters(o *organisation) {
	for len(o.tokenWaiters) > 0 {
		r := o.tokenWaiters[0]
		switch {
		case r.stage != stageAwaitingToken:
		case s.take(o.limit, 1):
			s.admit(r)
		case s.now.After(r.tokenDeadline):
			o.rateLimited++
			s.refuse(r, Refusal{Code: CodeRateLimited, Outcome: NotRun, RetryAt: s.rateRetryAt(o)})
		default:
			return
		}
		o.tokenWaiters = o.tokenWaiters[1:]
	}
}

func (s *State) rateRetryAt(o *organisation) time.Time {
	retryAt := s.ledger.RetryAt(s.now, o.limit, 1)
	if retryAt.IsZero() || retryAt.Before(s.now) {
		return s.now.Add(time.Second)
	}
	return retryAt
}

// handleTransferRequested grants a transfer if the link has the tokens; otherwise a later tick retries it.
func (s *State) handleTransferRequested(e TransferRequested) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageInFlight {
		return
	}
	r.transferSize = e.Size
	if !slices.Contains(s.transferWaiters, r) && !s.tryTransfer(r) {
		s.transferWaiters = append(s.transferWaiters, r)
	}
}

func (s *State) tryTransfer(r *request) bool {
	if r.target.responseLink != "" && !s.take(r.target.responseLink, id.Tokens(r.transferSize)) {
		return false
	}
	s.emit(GrantTransfer{Request: r.id, Size: r.transferSize})
	return true
}

func (s *State) retryTransfers() {
	s.transferWaiters = slices.DeleteFunc(s.transferWaiters, func(r *request) bool {
		return r.stage != stageInFlight || s.tryTransfer(r)
	})
}
