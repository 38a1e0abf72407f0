package lookup

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// Member is an instance of the membership view.
type Member struct {
	Instance id.Instance
	Region   id.Region
	// Live is false for an instance that is suspected, gone or leaving; it is never ranked.
	Live bool
}

// Candidates indexes the live instances by region, so that the cost of a ranking depends only on the regions that it
// includes. It is immutable and safe for concurrent use; NewCandidates builds a new one when the membership changes.
type Candidates struct {
	byRegion map[id.Region][]candidate
	// sortedRegions makes the iteration over regions deterministic.
	sortedRegions []id.Region
	regionOf      map[id.Instance]id.Region
}

type candidate struct {
	instance id.Instance
	// hash is precomputed, since each ranking combines it with the client's seed for every instance of a region.
	hash uint64
}

// NewCandidates indexes the live members.
func NewCandidates(members []Member) *Candidates {
	c := &Candidates{byRegion: make(map[id.Region][]candidate), regionOf: make(map[id.Instance]id.Region)}
	for _, m := range members {
		if !m.Live {
			continue
		}
		if _, known := c.byRegion[m.Region]; !known {
			c.sortedRegions = append(c.sortedRegions, m.Region)
		}
		c.byRegion[m.Region] = append(c.byRegion[m.Region], newCandidate(m.Instance))
		c.regionOf[m.Instance] = m.Region
	}
	slices.Sort(c.sortedRegions)
	return c
}

// Len returns the number of live instances.
func (c *Candidates) Len() int {
	return len(c.regionOf)
}

func newCandidate(instance id.Instance) candidate {
	return candidate{instance: instance, hash: xxhash.Sum64String(string(instance))}
}

// rendezvousHash hashes instance and seed, so that the order of equally good instances hardly changes when an instance
// is added or removed. It uses the finaliser of splitmix64; without it, seeds that differ in few bits would give similar
// orders.
func (c candidate) rendezvousHash(seed uint64) uint64 {
	z := c.hash ^ seed*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
