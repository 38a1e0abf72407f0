package entry

import (
	"slices"
	"strings"
	"time"

	"bluebellhold/admission"
	"bluebellhold/id"
)

// Configuration is the operator's document in the terms of this package.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[id.Service]Service
	Organisations map[id.Organisation]Organisation
	// Keys maps the digest of each key to its organisation.
	Keys         map[id.Digest]id.Organisation
	CallerLimits CallerLimits
}

// Route says how requests to a host below a path prefix are handled.
type Route struct {
	ID     id.Route
	Host   string
	Prefix string
	// Targets are the services that share the route's requests by weight.
	Targets []Target
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// IsBulk is set if answers are large.
	IsBulk bool
	// Timeout is the longest time that a request is kept waiting for its answer.
	Timeout time.Duration
	// Objective is the time within which an answer is fully useful.
	LatencyObjective time.Duration
	Priority         int
	// Attempts is the largest number of upstreams that one request may run on.
	MaxAttempts int
	// Open routes need no key.
	Public bool
	// Sticky is set if upstreams serve objects faster that they have handled lately.
	Sticky bool
	// Regions are the only ones that may serve the route; empty means all.
	Regions []id.Region
}

// Target is one service of a route.
type Target struct {
	Service id.Service
	Weight  float64
}

// Service describes the upstreams of a service in general.
type Service struct {
	// Connections is how many connections an upstream accepts from all instances together.
	MaxConnections int
	// ColdRate is how many requests per second a cold upstream tolerates.
	ColdRate float64
}

// Organisation is a tenant with its limit.
type Organisation struct {
	Priority int
	Rate     id.TokensPerSecond
	Burst    id.Tokens
	Regions  []id.Region
}

// CallerLimits bound what a caller may send and how long it may take.
type CallerLimits struct {
	MaxHeaderBytes id.Bytes
	MaxBodyBytes   id.Bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Bounds are the fleet-wide promises that the operator's settings state.
type Bounds struct {
	// RetryRatio and RetryExtra bound second sends per RetryWindow, summed over all instances.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// RateWindow is the span over which an organisation's limit is judged; the sum may exceed rate and burst by the part
	// RateExcess and by RateSlack requests.
	RateWindow time.Duration
	RateExcess float64
	RateSlack  float64
	// ColdExcess and ColdSlack are what a cold upstream tolerates beyond its rate.
	ColdFactor float64
	ColdSlack  float64
	// Drain is the time within which an upstream that leaves must get no more requests.
	MaxDrainDelay time.Duration
	// Grace is the time between the signal to stop and the end of the process.
	GracePeriod time.Duration
	// LookupTTL is the longest time that a look-up's answer may be kept.
	LookupTTL time.Duration
}

const (
	// margin is the part of a fleet-wide bound that instances spend. The rest covers requests that arrive closer
	// together than they were sent and instances that count different members for a moment.
	boundFraction = 0.9
	// slackPart is the part of the tolerated number of requests beyond an organisation's limit that instances spend, so
	// that small limits can be divided. The rest and all of the relative excess cover parts that were computed from
	// different heartbeats, and requests that ran twice.
	slackFraction = 0.4
)

// most returns what all instances together may admit of an organisation within the window.
func (b Bounds) maxPerWindow(o Organisation) id.Tokens {
	limit := float64(o.Rate)*b.RateWindow.Seconds() + float64(o.Burst)
	return id.Tokens(limit + b.RateSlack*slackFraction)
}

// mostCold returns what all instances together may send to a cold upstream of a service within a second.
func (b Bounds) maxColdRate(s Service) id.Tokens {
	return id.Tokens((s.ColdRate*b.ColdFactor + b.ColdSlack) * boundFraction)
}

// hosts maps a host to its routes, the longest prefix first.
type routeTable map[string][]*Route

func newRouteTable(routes []Route) routeTable {
	table := make(routeTable)
	for i := range routes {
		r := &routes[i]
		table[r.Host] = append(table[r.Host], r)
	}
	for _, routes := range table {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// match returns the route of a host with the longest prefix of the path, or nil.
func (t routeTable) match(host, path string) *Route {
	for _, r := range t[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

func priorityOf(o Organisation, r *Route) admission.Priority {
	return admission.Priority{Organisation: o.Priority, Route: r.Priority}
}
