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
	// The link burst is a tenth of a second of the link's rate, so that a burst stays small beside the link's buffers.
	linkBurstFraction = 0.1
	// leastLinkBurst lets each home instance of a slow link hold the tokens for a chunk of 64 KiB.
	leastLinkBurst id.Tokens = 1 << 20
)

func ledgerMember(m store.Member, live bool) allotment.Member {
	return allotment.Member{Instance: m.Instance, Region: m.Region, Address: m.Peer, Live: live}
}

// configureLimits tells the ledger all limits of the current configuration.
func (s *State) configureLimits() {
	config := s.epochs.current
	var limits []allotment.Limit
	for name, o := range config.Organisations {
		limits = append(limits, rateLimit(organisationLimit(name), o.Rate, o.Burst))
	}
	for name, shift := range config.Shifts {
		limits = append(limits, rateLimit(shiftLimit(name), shift.Rate, shift.Burst))
	}
	for _, link := range config.Links {
		rate := id.TokensPerSecond(link.Rate)
		limits = append(limits, rateLimit(linkLimit(link.From, link.To), rate, max(id.Tokens(rate)*linkBurstFraction, leastLinkBurst)))
	}
	limits = append(limits, s.slotLimits()...)
	sort.Slice(limits, func(i, j int) bool { return limits[i].ID < limits[j].ID })
	s.ledgerReduce(allotment.LimitsChanged{Limits: limits})
}

func rateLimit(name id.Limit, rate id.TokensPerSecond, burst id.Tokens) allotment.Limit {
	return allotment.Limit{ID: name, Amount: allotment.Rate{Rate: rate, Burst: burst}}
}

// slotLimits returns one limit for each service and region, with the slots of the upstreams that are not drained.
func (s *State) slotLimits() []allotment.Limit {
	config := s.epochs.current
	var limits []allotment.Limit
	for name := range config.Services {
		for region, n := range config.SlotsByRegion(name) {
			limits = append(limits, allotment.Limit{
				ID: slotsLimit(name, region), Amount: allotment.Concurrency{Slots: n}, Region: region,
			})
		}
	}
	return limits
}

func (s *State) configureOrganisations() {
	config := s.epochs.current
	for name := range config.Organisations {
		if s.organisations[name] == nil {
			s.organisations[name] = &organisation{id: name, limit: organisationLimit(name)}
		}
	}
	for name, o := range s.organisations {
		if _, ok := config.Organisations[name]; ok || name == "" {
			continue
		}
		for _, r := range o.waiting {
			s.refuse(r, Refusal{Code: CodeInvalidKey, Outcome: NotRun})
		}
		o.waiting = nil
		delete(s.organisations, name)
	}
	if s.organisations[""] == nil {
		// Requests without a key on open routes share one place in the queue.
		s.organisations[""] = &organisation{}
	}
}

// take spends n tokens of a limit.
func (s *State) take(limit id.Limit, n id.Tokens) bool {
	ok, effects := s.ledger.Take(s.now, limit, n)
	if len(effects) > 0 {
		s.ledgerEffects(effects)
	}
	return ok
}

func (s *State) ledgerReduce(e allotment.Event) {
	s.ledgerEffects(s.ledger.Reduce(s.now, e))
}

func (s *State) ledgerEffects(effects []allotment.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case allotment.Transact:
			s.emit(Transact{Call: Call{OwnerLedger, e.ID}, Transaction: e.Transaction})
		case allotment.ReadRows:
			s.emit(ReadRows{Call: Call{OwnerLedger, e.ID}, Names: e.Names})
		case allotment.Send:
			s.emit(Send{To: e.To, Message: ledgerEnvelope(e.Message)})
		}
	}
}

func (s *State) claimsReduce(e claim.Event) {
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
			s.claimDecided(e)
		case claim.Settled:
			s.stopping.unsettled--
		}
	}
}

func (s *State) claimsObject(e ObjectDone) {
	if e.IsWrite {
		s.claimsReduce(claim.ObjectWritten{ID: e.Call.ID, Err: e.Err})
		return
	}
	s.claimsReduce(claim.ObjectRead{ID: e.Call.ID, Body: e.Body, Err: e.Err})
}

// retryShort serves the requests that wait for a token of their organisation, the oldest first.
func (s *State) retryShort() {
	s.short = slices.DeleteFunc(s.short, func(o *organisation) bool {
		s.serveWaiting(o)
		return len(o.waiting) == 0
	})
}

func (s *State) serveWaiting(o *organisation) {
	for len(o.waiting) > 0 {
		r := o.waiting[0]
		switch {
		case r.stage != stageShort:
		case s.take(o.limit, 1):
			s.admitted(r)
		case s.now.After(r.waitUntil):
			o.refused++
			s.refuse(r, Refusal{Code: CodeRateLimited, Outcome: NotRun, RetryAt: s.rateAfter(o)})
		default:
			return
		}
		o.waiting = o.waiting[1:]
	}
}

func (s *State) rateAfter(o *organisation) time.Time {
	at := s.ledger.RetryAt(s.now, o.limit, 1)
	if at.IsZero() || at.Before(s.now) {
		return s.now.Add(time.Second)
	}
	return at
}

// dataWanted lets a dispatched request move bytes over its link when the link has room, else on a later tick.
func (s *State) dataWanted(e TransferRequested) {
	r := s.requests[e.Request]
	if r == nil || r.stage != stageRunning {
		return
	}
	r.wanted = e.Size
	if !slices.Contains(s.starved, r) && !s.allowData(r) {
		s.starved = append(s.starved, r)
	}
}

func (s *State) allowData(r *request) bool {
	if r.place.back != "" && !s.take(r.place.back, id.Tokens(r.wanted)) {
		return false
	}
	s.emit(GrantTransfer{Request: r.id, Size: r.wanted})
	return true
}

func (s *State) retryStarved() {
	s.starved = slices.DeleteFunc(s.starved, func(r *request) bool {
		return r.stage != stageRunning || s.allowData(r)
	})
}
