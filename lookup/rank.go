package lookup

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Client describes the client of a ranking.
type Client struct {
	Region id.Region
	// HomeInstances lists the home instances of the client's organisation; those that are not live are ignored.
	HomeInstances []id.Instance
	// Latencies maps other regions to the latency from the client's region; regions without one are ranked last.
	Latencies map[id.Region]time.Duration
	// Seed distributes clients over equally good instances; a seed that is fixed per client lets it reuse connections.
	Seed uint64
	// Limit is the maximum number of instances to return; zero means all.
	Limit int
}

// unknownLatency ranks regions without a latency last.
const unknownLatency = time.Duration(1<<63 - 1)

// ranking is the state of one Rank call.
type ranking struct {
	candidates *Candidates
	client     Client
	limit      int
	order      []id.Instance
	buffer     []rankedCandidate
	// truncated is true once the buffer was sorted and truncated; its first remaining() entries are sorted from then on.
	truncated bool
}

type rankedCandidate struct {
	instance id.Instance
	latency  time.Duration
	hash     uint64
}

// Rank returns the instances in the order in which the client should use them: home instances in its region, others in
// its region, home instances in other regions, and the rest, the last two by latency. Ties are broken by a hash with the
// seed.
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

// addHomeInstances adds the home instances that are, or are not, in the client's region.
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

// addOtherInstances adds the instances of regions with the same latency, except the home instances.
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

// remoteRegionGroups returns the regions other than the client's by increasing latency, grouped by equal latency.
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

// collect buffers an instance for flush. The buffer is limited to about twice remaining(), because a ranking often
// includes few of the hundreds of instances of a region.
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

// bufferSlack avoids sorting the buffer for almost every collected instance when remaining() is small.
const bufferSlack = 16

// remaining returns the number of instances that can still be added; it is at least 1 in collect.
func (r *ranking) remaining() int {
	return r.limit - len(r.order)
}

// sortAndTruncate sorts the collected instances and discards those beyond the limit.
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

// flush appends the collected instances to the order and empties the buffer.
func (r *ranking) flush() {
	r.sortAndTruncate()
	for _, x := range r.buffer {
		r.order = append(r.order, x.instance)
	}
	r.buffer, r.truncated = r.buffer[:0], false
}
