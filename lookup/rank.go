package lookup

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// Candidate is an instance as the membership view shows it.
type Candidate struct {
	Instance id.Instance
	Region   id.Region
	// Live is false for an instance that is suspected, gone or leaving; it is left out.
	Live bool
	// Home is true for a home instance of the organisation.
	Home bool
}

// Client describes who asks.
type Client struct {
	Region id.Region
	// Distances gives the delay from the client's region to others; regions without one come last.
	Distances map[id.Region]time.Duration
	// Seed spreads clients over equally good instances; one that is fixed per client keeps its connections useful.
	Seed uint64
	// Limit bounds the answer; zero means all.
	Limit int
}

// The tiers of an answer.
const (
	tierHomeNear = iota
	tierNear
	tierHomeFar
	tierFar
)

type rank struct {
	tier     int
	distance time.Duration
	spread   uint64
	instance id.Instance
}

// farthest stands for the distance of a region that is not known.
const farthest = time.Duration(1<<63 - 1)

// Rank returns the instances in the order in which the client should ask them: home instances in its region, others
// in its region, home instances elsewhere, and the rest, the last two by distance. Equals are ordered by the seed.
func Rank(candidates []Candidate, c Client) []id.Instance {
	ranks := make([]rank, 0, len(candidates))
	for _, x := range candidates {
		if x.Live {
			ranks = append(ranks, rankOf(x, c))
		}
	}
	slices.SortFunc(ranks, func(x, y rank) int {
		return cmp.Or(
			cmp.Compare(x.tier, y.tier), cmp.Compare(x.distance, y.distance),
			cmp.Compare(x.spread, y.spread), cmp.Compare(x.instance, y.instance),
		)
	})
	if c.Limit > 0 && len(ranks) > c.Limit {
		ranks = ranks[:c.Limit]
	}
	order := make([]id.Instance, 0, len(ranks))
	for _, r := range ranks {
		order = append(order, r.instance)
	}
	return order
}

func rankOf(x Candidate, c Client) rank {
	r := rank{instance: x.Instance, spread: spread(c.Seed, x.Instance)}
	near := x.Region == c.Region
	switch {
	case near && x.Home:
		r.tier = tierHomeNear
	case near:
		r.tier = tierNear
	case x.Home:
		r.tier = tierHomeFar
	default:
		r.tier = tierFar
	}
	if near {
		return r
	}
	distance, known := c.Distances[x.Region]
	if !known {
		distance = farthest
	}
	r.distance = distance
	return r
}

// spread is a hash of the pair, so that the order among equals hardly changes when an instance comes or goes.
func spread(seed uint64, instance id.Instance) uint64 {
	h := xxhash.NewWithSeed(seed)
	// Writing to a hash never fails.
	_, _ = h.WriteString(string(instance))
	return h.Sum64()
}
