package lookup

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// Member is an instance as the membership view shows it.
type Member struct {
	Instance id.Instance
	Region   id.Region
	// Live is false for an instance that is suspected, gone or leaving; it is left out of all answers.
	Live bool
}

// Candidates indexes the live instances by region, so that an answer costs no more than the regions that it names
// have instances. It is immutable and safe for concurrent use; Gather makes one when the membership changes.
type Candidates struct {
	byRegion map[id.Region][]candidate
	// order lists the regions, so that nothing depends on the order of the map.
	sortedRegions []id.Region
	regionOf      map[id.Instance]id.Region
}

type candidate struct {
	instance id.Instance
	// hash is computed once, since an answer mixes it with the client's seed for each instance of a region.
	hash uint64
}

// Gather indexes the live members.
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

// spread is a hash of the pair, so that the order among equals hardly changes when an instance comes or goes. The
// mixing is the finaliser of splitmix64; without it, seeds that differ in few bits would give similar orders.
func (c candidate) rendezvousHash(seed uint64) uint64 {
	z := c.hash ^ seed*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
