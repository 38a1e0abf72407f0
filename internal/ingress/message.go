package ingress

import (
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/wire"
	"bluebellhold/placement"
	"bluebellhold/retry"
)

// encodeMessage returns the message to another instance on the wire.
func encodeMessage(m entry.PeerMessage) *wire.Envelope {
	switch m := m.(type) {
	case entry.MemberReport:
		return &wire.Envelope{Payload: &wire.Envelope_MemberReport{MemberReport: &wire.MemberReport{
			Stamp: int64(m.Stamp), Echo: int64(m.Echo), Lends: m.Lends, Started: m.StartTime,
			Loads: encodeLoads(m), Suspects: encodeSuspects(m.Suspects),
			Limits: encodeLimits(m.Limits), Severed: m.IsSevered,
			Leavers: encodeLeavers(m.Leavers), Observed: encodeObserved(m.Observed),
			Queued: encodeQueued(m.Queued),
		}}}
	case entry.CoordinatorBeat:
		beat := &wire.CoordinatorBeat{
			Stamp: int64(m.Stamp), Echo: int64(m.Echo), Leaving: m.Leaving, Suspects: encodeSuspects(m.Suspects),
			Started: m.StartTime, Limits: encodeLimits(m.Limits), Leavers: encodeLeavers(m.Leavers),
			Observed: encodeObserved(m.Observed),
			Queued:   encodeQueued(m.Queued),
		}
		for _, name := range m.Severed {
			beat.Severed = append(beat.Severed, string(name))
		}
		for name, share := range m.Shares {
			beat.Shares = append(beat.Shares, &wire.Share{Name: string(name), Share: share})
		}
		for name, share := range m.LocalShares {
			beat.Local = append(beat.Local, &wire.Share{Name: string(name), Share: share})
		}
		for _, p := range m.Plan {
			beat.Plan = append(beat.Plan, &wire.RoutePlan{
				Service: string(p.Service), Route: string(p.Route), Share: p.Share, Far: uint32(p.Far),
			})
		}
		return &wire.Envelope{Payload: &wire.Envelope_CoordinatorBeat{CoordinatorBeat: beat}}
	case entry.TokenRequest:
		return &wire.Envelope{Payload: &wire.Envelope_TokenRequest{TokenRequest: &wire.TokenRequest{
			Sequence: m.Sequence, Organisation: string(m.Organisation), Tokens: uint32(m.Tokens),
			Arrivals: uint32(m.Arrivals), Returned: uint32(m.Returned),
		}}}
	case entry.TokenGrant:
		return &wire.Envelope{Payload: &wire.Envelope_TokenGrant{TokenGrant: &wire.TokenGrant{
			Sequence: m.Sequence, Organisation: string(m.Organisation), Tokens: uint32(m.Tokens),
			Retryafter: int64(m.RetryAfter),
		}}}
	}
	return nil
}

// decodeMessage returns a message of another instance, or nil if its type is none of those for the reducer.
func decodeMessage(m *wire.Envelope) entry.PeerMessage {
	switch payload := m.GetPayload().(type) {
	case *wire.Envelope_MemberReport:
		return decodeReport(payload.MemberReport)
	case *wire.Envelope_CoordinatorBeat:
		return decodeBeat(payload.CoordinatorBeat)
	case *wire.Envelope_TokenRequest:
		r := payload.TokenRequest
		return entry.TokenRequest{
			Sequence: r.GetSequence(), Organisation: id.Organisation(r.GetOrganisation()), Tokens: int(r.GetTokens()),
			Arrivals: int(r.GetArrivals()), Returned: int(r.GetReturned()),
		}
	case *wire.Envelope_TokenGrant:
		g := payload.TokenGrant
		return entry.TokenGrant{
			Sequence: g.GetSequence(), Organisation: id.Organisation(g.GetOrganisation()), Tokens: int(g.GetTokens()),
			RetryAfter: time.Duration(g.GetRetryafter()),
		}
	}
	return nil
}

func decodeReport(r *wire.MemberReport) entry.MemberReport {
	report := entry.MemberReport{
		Stamp: entry.Stamp(r.GetStamp()), Echo: entry.Stamp(r.GetEcho()), Lends: r.GetLends(),
		OfferedLoad: make(map[id.Service]float64), PinnedLoad: make(map[id.Service]map[id.Region]float64),
		Suspects: decodeSuspects(r.GetSuspects()), Limits: decodeLimits(r.GetLimits()), StartTime: r.GetStarted(),
		IsSevered: r.GetSevered(), Leavers: decodeLeavers(r.GetLeavers()), Observed: decodeObserved(r.GetObserved()),
		Queued: decodeQueued(r.GetQueued()),
	}
	for _, l := range r.GetLoads() {
		service, slots := id.Service(l.GetService()), l.GetSlots()
		if !isSlots(slots) {
			continue
		}
		if route := id.Route(l.GetRoute()); route != "" {
			if report.RouteLoad == nil {
				report.RouteLoad = make(map[id.Service]map[id.Route]float64)
			}
			if report.RouteLoad[service] == nil {
				report.RouteLoad[service] = make(map[id.Route]float64)
			}
			report.RouteLoad[service][route] = slots
			continue
		}
		if l.GetRegion() == "" {
			report.OfferedLoad[service] = slots
			continue
		}
		if report.PinnedLoad[service] == nil {
			report.PinnedLoad[service] = make(map[id.Region]float64)
		}
		report.PinnedLoad[service][id.Region(l.GetRegion())] = slots
	}
	return report
}

// maxOfferedSlots bounds the load that another instance may claim to offer to a service.
const maxOfferedSlots = 1e6

func decodeBeat(b *wire.CoordinatorBeat) entry.CoordinatorBeat {
	beat := entry.CoordinatorBeat{
		Stamp: entry.Stamp(b.GetStamp()), Echo: entry.Stamp(b.GetEcho()), Leaving: b.GetLeaving(),
		LocalShares: make(map[id.Service]float64), Suspects: decodeSuspects(b.GetSuspects()),
		Limits: decodeLimits(b.GetLimits()), StartTime: b.GetStarted(), Leavers: decodeLeavers(b.GetLeavers()),
		Observed: decodeObserved(b.GetObserved()),
		Queued:   decodeQueued(b.GetQueued()),
	}
	for _, name := range b.GetSevered() {
		beat.Severed = append(beat.Severed, id.Instance(name))
	}
	for _, s := range b.GetShares() {
		if beat.Shares == nil {
			beat.Shares = make(map[id.Organisation]float64)
		}
		if isFraction(s.GetShare()) {
			beat.Shares[id.Organisation(s.GetName())] = s.GetShare()
		}
	}
	for _, s := range b.GetLocal() {
		if isFraction(s.GetShare()) {
			beat.LocalShares[id.Service(s.GetName())] = s.GetShare()
		}
	}
	beat.Plan = decodePlan(b.GetPlan())
	return beat
}

// maxRoutePlans bounds the routes in a plan.
const maxRoutePlans = 1024

// decodePlan returns the plan, and nil if any of it makes no sense.
func decodePlan(plans []*wire.RoutePlan) []entry.RoutePlan {
	if len(plans) > maxRoutePlans {
		return nil
	}
	var out []entry.RoutePlan
	for _, p := range plans {
		plan := entry.RoutePlan{
			Service: id.Service(p.GetService()), Route: id.Route(p.GetRoute()), Share: p.GetShare(), Far: int(p.GetFar()),
		}
		if !plan.IsValid() {
			return nil
		}
		out = append(out, plan)
	}
	return out
}

// isFraction reports whether x is between 0 and 1, which excludes NaN.
func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// encodeLoads returns the loads of the report. Those by route come first: an older instance takes each of them for the load
// of the service, which then replaces them.
func encodeLoads(m entry.MemberReport) []*wire.OfferedLoad {
	var loads []*wire.OfferedLoad
	for service, byRoute := range m.RouteLoad {
		for route, slots := range byRoute {
			loads = append(loads, &wire.OfferedLoad{Service: string(service), Route: string(route), Slots: slots})
		}
	}
	for service, slots := range m.OfferedLoad {
		loads = append(loads, &wire.OfferedLoad{Service: string(service), Slots: slots})
	}
	for service, byRegion := range m.PinnedLoad {
		for region, slots := range byRegion {
			loads = append(loads, &wire.OfferedLoad{Service: string(service), Region: string(region), Slots: slots})
		}
	}
	return loads
}

func encodeSuspects(reports []retry.Report) []*wire.Suspect {
	var suspects []*wire.Suspect
	for _, r := range reports {
		s := &wire.Suspect{Digest: r.Digest[:], Age: int64(r.Age)}
		for _, u := range r.Upstreams {
			s.Upstreams = append(s.Upstreams, string(u))
		}
		suspects = append(suspects, s)
	}
	return suspects
}

// decodeSuspects returns the valid reports.
func decodeSuspects(suspects []*wire.Suspect) []retry.Report {
	var reports []retry.Report
	for _, s := range suspects {
		if len(s.GetDigest()) != len(id.Digest{}) || s.GetAge() < 0 {
			continue
		}
		r := retry.Report{Digest: id.Digest(s.GetDigest()), Age: time.Duration(s.GetAge())}
		for _, u := range s.GetUpstreams() {
			r.Upstreams = append(r.Upstreams, id.Upstream(u))
		}
		reports = append(reports, r)
	}
	return reports
}

func encodeLimits(reports []placement.LimitReport) []*wire.UpstreamLimit {
	var limits []*wire.UpstreamLimit
	for _, r := range reports {
		l := &wire.UpstreamLimit{Upstream: string(r.Upstream), Incarnation: uint64(r.Incarnation), Age: int64(r.Age)}
		if r.Limit != nil {
			l.Named, l.Rate = true, float64(*r.Limit)
		}
		limits = append(limits, l)
	}
	return limits
}

// decodeLimits returns the valid reports.
func decodeLimits(limits []*wire.UpstreamLimit) []placement.LimitReport {
	var reports []placement.LimitReport
	for _, l := range limits {
		r := placement.LimitReport{
			Upstream: id.Upstream(l.GetUpstream()), Incarnation: id.Incarnation(l.GetIncarnation()), Age: time.Duration(l.GetAge()),
		}
		if l.GetNamed() {
			rate := id.TokensPerSecond(l.GetRate())
			r.Limit = &rate
		}
		if r.IsValid() {
			reports = append(reports, r)
		}
	}
	return reports
}

func encodeLeavers(reports []entry.LeavingReport) []*wire.LeavingUpstream {
	var leavers []*wire.LeavingUpstream
	for _, r := range reports {
		leavers = append(leavers, &wire.LeavingUpstream{
			Upstream: string(r.Upstream), Incarnation: uint64(r.Incarnation), Age: int64(r.Age),
		})
	}
	return leavers
}

func decodeLeavers(leavers []*wire.LeavingUpstream) []entry.LeavingReport {
	var reports []entry.LeavingReport
	for _, l := range leavers {
		reports = append(reports, entry.LeavingReport{
			Upstream: id.Upstream(l.GetUpstream()), Incarnation: id.Incarnation(l.GetIncarnation()), Age: time.Duration(l.GetAge()),
		})
	}
	return reports
}

func encodeObserved(observed map[id.Service]placement.ServiceLoad) []*wire.ServiceLoad {
	var loads []*wire.ServiceLoad
	for name, o := range observed {
		load := &wire.ServiceLoad{Service: string(name), Mean: o.Mean}
		for _, u := range o.Upstreams {
			load.Upstreams = append(load.Upstreams, &wire.UpstreamLoad{
				Upstream: string(u.Upstream), Incarnation: uint64(u.Incarnation), Load: u.Load, Age: int64(u.Age),
			})
		}
		loads = append(loads, load)
	}
	return loads
}

// decodeObserved returns the valid loads, of at most placement.MaxObservedUpstreams upstreams of each service.
func decodeObserved(loads []*wire.ServiceLoad) map[id.Service]placement.ServiceLoad {
	var observed map[id.Service]placement.ServiceLoad
	for _, l := range loads {
		load := placement.ServiceLoad{Mean: l.GetMean()}
		for _, u := range l.GetUpstreams() {
			upstream := placement.UpstreamLoad{
				Upstream: id.Upstream(u.GetUpstream()), Incarnation: id.Incarnation(u.GetIncarnation()),
				Load: u.GetLoad(), Age: time.Duration(u.GetAge()),
			}
			if upstream.IsValid() && len(load.Upstreams) < placement.MaxObservedUpstreams {
				load.Upstreams = append(load.Upstreams, upstream)
			}
		}
		if !load.IsValid() {
			continue
		}
		if observed == nil {
			observed = make(map[id.Service]placement.ServiceLoad)
		}
		observed[id.Service(l.GetService())] = load
	}
	return observed
}

func encodeQueued(work []entry.QueuedWork) []*wire.QueuedWork {
	var queued []*wire.QueuedWork
	for _, w := range work {
		queued = append(queued, &wire.QueuedWork{
			Service: string(w.Service), Organisation: int64(w.Priority.Organisation), Route: int64(w.Priority.Route),
			Slots: w.Slots, Age: int64(w.Age),
		})
	}
	return queued
}

const (
	// maxQueuedEntries bounds the entries of queued work in a message, and maxPriority the amount of a priority. The reducer
	// drops priorities that do not exist and bounds the work by the slots of its service.
	maxQueuedEntries = 64
	maxPriority      = 1 << 20
	// maxQueuedAge bounds the age of a queued request; none waits for longer.
	maxQueuedAge = time.Minute
)

// decodeQueued returns the valid entries.
func decodeQueued(queued []*wire.QueuedWork) []entry.QueuedWork {
	var work []entry.QueuedWork
	for _, q := range queued[:min(len(queued), maxQueuedEntries)] {
		organisation, route, age := q.GetOrganisation(), q.GetRoute(), time.Duration(q.GetAge())
		if max(organisation, route) > maxPriority || min(organisation, route) < -maxPriority || age < 0 ||
			!(q.GetSlots() > 0 && q.GetSlots() <= maxOfferedSlots) {
			continue
		}
		work = append(work, entry.QueuedWork{
			Service: id.Service(q.GetService()), Priority: admission.Priority{Organisation: int(organisation), Route: int(route)},
			Slots: q.GetSlots(), Age: min(age, maxQueuedAge),
		})
	}
	return work
}
