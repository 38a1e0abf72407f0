package lookup

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Client describes who asks.
type Client struct {
	Region id.Region
	// Home lists the home instances of the client's organisation; those that are not live are left out.
	HomeInstances []id.Instance
	// Distances gives the delay from the client's region to others; regions without one come last.
	Latencies map[id.Region]time.Duration
	// Seed spreads clients over equally good instances; one that is fixed per client keeps its connections useful.
	Seed uint64
	// Limit bounds the answer; zero means all.
	Limit int
}

// farthest stands for the distance of a region that is not known.
const unknownLatency = time.Duration(1<<63 - 1)

// ranking is an answer that is being put together.
type ranking struct {
	candidates *Candidates
	client     Client
	limit      int
	order      []id.Instance
	buffer     []rankedCandidate
	// cut is true once the buffer was cut, so that its first entries, as many as there is room for, are in order.
	truncated bool
}

type rankedCandidate struct {
	instance id.Instance
	latency  time.Duration
	hash     uint64
}

// Rank returns the instances in the order in which the client should ask them: home instances in its region, others
// in its region, home instances elsewhere, and the rest, the last two by distance. Equals are ordered by the seed.
func Rank(candidates *Candidates, client Client) []id.Instance {
	r := ranking{candidates: candidates, client: client, limit: client.Limit}
	if r.limit <= 0 || r.limit > candidates.Len() {
		r.limit = candidates.Len()
	}
	r.order = make([]id.Instance, 0, r.limit)
	r.addHomeInstances(true)
	r.addOtherInstances([]id.Region{client.Region})
	r.addHomeInstances(false)
	for _, group := range r.remoteRegionGroups() {
		r.addOtherInstances(group)
	}
	return r.order
}

// homes adds the home instances that are, or are not, in the client's region.
func (r *ranking) addHomeInstances(inRegion bool) {
	if r.full() {
		return
	}
	for _, instance := range r.client.HomeInstances {
		region, live := r.candidates.regionOf[instance]
		if live && inRegion == (region == r.client.Region) {
			r.collect(newCandidate(instance), r.latency(region))
		}
	}
	r.flush()
}

// others adds the instances of regions at one distance, except the home instances.
func (r *ranking) addOtherInstances(regions []id.Region) {
	if r.full() {
		return
	}
	for _, region := range regions {
		for _, c := range r.candidates.byRegion[region] {
			if !slices.Contains(r.client.HomeInstances, c.instance) {
				r.collect(c, 0)
			}
		}
	}
	r.flush()
}

// elsewhere returns the regions other than the client's, nearest first, with those at one distance in a group.
func (r *ranking) remoteRegionGroups() [][]id.Region {
	if r.full() {
		return nil
	}
	regions := slices.DeleteFunc(slices.Clone(r.candidates.sortedRegions), func(x id.Region) bool {
		return x == r.client.Region
	})
	slices.SortStableFunc(regions, func(x, y id.Region) int {
		return cmp.Compare(r.latency(x), r.latency(y))
	})
	var groups [][]id.Region
	for len(regions) > 0 {
		n := 1
		for n < len(regions) && r.latency(regions[n]) == r.latency(regions[0]) {
			n++
		}
		groups = append(groups, regions[:n])
		regions = regions[n:]
	}
	return groups
}

func (r *ranking) latency(region id.Region) time.Duration {
	if region == r.client.Region {
		return 0
	}
	latency, known := r.client.Latencies[region]
	if !known {
		return unknownLatency
	}
	return latency
}

func (r *ranking) full() bool {
	return r.remaining() == 0
}

// collect keeps an instance for flush. Of many it keeps only about as many as there is room for, because an answer
// names few instances of a region that has hundreds.
func (r *ranking) collect(c candidate, latency time.Duration) {
	x := rankedCandidate{instance: c.instance, latency: latency, hash: c.rendezvousHash(r.client.Seed)}
	if r.truncated && compareRanked(x, r.buffer[r.remaining()-1]) > 0 {
		return
	}
	r.buffer = append(r.buffer, x)
	if len(r.buffer) >= 2*r.remaining()+bufferSlack {
		r.sortAndTruncate()
		r.truncated = true
	}
}

// bufferSlack keeps short answers from being sorted for each instance that is collected.
const bufferSlack = 16

// room returns how many instances the answer still takes; it is at least one while anything is collected.
func (r *ranking) remaining() int {
	return r.limit - len(r.order)
}

// sort puts the collected instances in order and drops those that the answer has no room for.
func (r *ranking) sortAndTruncate() {
	slices.SortFunc(r.buffer, compareRanked)
	r.buffer = r.buffer[:min(len(r.buffer), r.remaining())]
}

func compareRanked(x, y rankedCandidate) int {
	switch {
	case x.latency != y.latency:
		return cmp.Compare(x.latency, y.latency)
	case x.hash != y.hash:
		return cmp.Compare(x.hash, y.hash)
	}
	return cmp.Compare(x.instance, y.instance)
}

// flush appends the collected instances to the answer.
func (r *ranking) flush() {
	r.sortAndTruncate()
	for _, x := range r.buffer {
		r.order = append(r.order, x.instance)
	}
	r.buffer, r.truncated = r.buffer[:0], false
}
