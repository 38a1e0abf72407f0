package entry

import (
	"slices"
	"strings"
	"time"

	"bluebellhold/admission"
	"bluebellhold/features"
	"bluebellhold/id"
)

// Configuration is the operator's configuration.
type Configuration struct {
	Version       uint64
	Routes        []Route
	Services      map[id.Service]Service
	Organisations map[id.Organisation]Organisation
	// Keys maps the digest of each API key to its organisation.
	Keys         map[id.Digest]id.Organisation
	CallerLimits CallerLimits
	// Features are the optional parts that the document calls for.
	Features features.Set
}

// Route defines how requests to a host and path prefix are handled.
type Route struct {
	ID     id.Route
	Host   string
	Prefix string
	// Targets are the services that the route's requests are split between by weight.
	Targets []Target
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// IsBulk is set if responses are large, and IsUpload if request bodies are.
	IsBulk   bool
	IsUpload bool
	// Timeout bounds the time from a request's arrival to its response; if it is zero, only the caller's timeout
	// applies.
	Timeout time.Duration
	// LatencyObjective is the latency up to which a response is fully useful.
	LatencyObjective time.Duration
	// Priority orders the requests of organisations with equal priorities; lower values go first.
	Priority int
	// MaxAttempts is the maximum number of upstreams that one request may run on.
	MaxAttempts int
	// Public is set if requests need no API key.
	Public bool
	// Sticky is set if upstreams cache objects, so that requests for an object are sent to the upstreams that served it
	// lately.
	Sticky bool
	// Regions are the allowed regions; empty means all.
	Regions []id.Region
}

// Target is one service of a route with its weight.
type Target struct {
	Service id.Service
	Weight  float64
}

// Service holds the limits that apply to each upstream of a service.
type Service struct {
	// MaxConnections bounds the connections of all instances together to one upstream.
	MaxConnections int
	// ColdRate is the rate in requests per second that an upstream with a cold cache tolerates.
	ColdRate float64
}

// Organisation is a tenant with its rate limit.
type Organisation struct {
	// Priority takes precedence over that of the route; lower values go first.
	Priority int
	Rate     id.TokensPerSecond
	Burst    id.Tokens
	Regions  []id.Region
}

// CallerLimits bound the size of callers' requests and the time for sending them.
type CallerLimits struct {
	MaxHeaderBytes id.Bytes
	MaxBodyBytes   id.Bytes
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Bounds are the fleet-wide bounds from the operator's settings.
type Bounds struct {
	// RetryRatio and RetryExtra bound the retries of all instances within RetryWindow, to a ratio of the first attempts
	// plus a number of retries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// RateWindow is the window over which an organisation's limit is checked. Within it, the requests of all instances
	// may exceed rate and burst by the fraction RateExcess plus RateSlack requests.
	RateWindow time.Duration
	RateExcess float64
	RateSlack  float64
	// ColdFactor and ColdSlack bound the requests to a cold upstream within a second, to its cold rate times ColdFactor
	// plus ColdSlack requests.
	ColdFactor float64
	ColdSlack  float64
	// MaxDrainDelay is the time within which requests to a draining upstream must stop.
	MaxDrainDelay time.Duration
	// GracePeriod is the time from the stop signal to the end of the process.
	GracePeriod time.Duration
	// LookupTTL is the maximum time for which a caller may cache the result of a look-up.
	LookupTTL time.Duration
}

const (
	// boundFraction is the fraction of a fleet-wide bound that instances use. The rest covers requests that arrive
	// closer together than they were sent, and instances whose views of the membership differ for a moment.
	boundFraction = 0.9
	// slackFraction and excessFraction are the fractions of the tolerance beyond a rate, RateSlack and RateExcess, that
	// instances use, so that small limits can be divided. The rest covers tokens that were used later than granted, and
	// requests that ran twice.
	slackFraction  = 0.6
	excessFraction = 0.3
)

// refillRate returns the rate at which all instances together may admit requests of an organisation for any length of
// time: what rate and burst allow within RateWindow, evenly.
func (b Bounds) refillRate(o Organisation) id.TokensPerSecond {
	return o.Rate + id.TokensPerSecond(float64(o.Burst)/b.RateWindow.Seconds())
}

// bucketDepth returns the tokens of an organisation that all instances together may save up. With the refill, they
// admit at most rate times RateWindow plus burst within RateWindow, and a part of the tolerance.
func (b Bounds) bucketDepth(o Organisation) id.Tokens {
	excess := b.RateExcess * (float64(o.Rate)*b.RateWindow.Seconds() + float64(o.Burst))
	return id.Tokens(b.RateSlack*slackFraction + excess*excessFraction)
}

// maxColdRate returns the number of requests per second that all instances together may send to a cold upstream of a
// service.
func (b Bounds) maxColdRate(s Service) id.Tokens {
	return id.Tokens((s.ColdRate*b.ColdFactor + b.ColdSlack) * boundFraction)
}

// routeTable maps a host to its routes.
type routeTable map[string]*hostRoutes

// hostRoutes are the routes of a host. A look-up takes a step for each slash of the path, whatever the number of routes.
type hostRoutes struct {
	byPrefix map[string]*Route
	// unclosed are the routes whose prefixes do not end with a slash, the longest first.
	unclosed []*Route
}

func newRouteTable(routes []Route) routeTable {
	table := make(routeTable)
	for i := range routes {
		r := &routes[i]
		host := table[r.Host]
		if host == nil {
			host = &hostRoutes{byPrefix: make(map[string]*Route)}
			table[r.Host] = host
		}
		if !strings.HasSuffix(r.Prefix, "/") {
			host.unclosed = append(host.unclosed, r)
		} else if host.byPrefix[r.Prefix] == nil {
			host.byPrefix[r.Prefix] = r
		}
	}
	for _, host := range table {
		slices.SortStableFunc(host.unclosed, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return table
}

// match returns the host's route with the longest prefix that matches the path, or nil.
func (t routeTable) match(host, path string) *Route {
	routes := t[host]
	if routes == nil {
		return nil
	}
	var longest *Route
	for end := strings.LastIndexByte(path, '/'); end >= 0 && longest == nil; end = strings.LastIndexByte(path[:end], '/') {
		longest = routes.byPrefix[path[:end+1]]
	}
	for _, r := range routes.unclosed {
		if longest != nil && len(r.Prefix) < len(longest.Prefix) {
			break
		}
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return longest
}

func priorityOf(o Organisation, r *Route) admission.Priority {
	return admission.Priority{Organisation: o.Priority, Route: r.Priority}
}
