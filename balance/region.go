package balance

import "bluebellhold/id"

// The zones of a region's members: those without own requests, those with some that may get more, and the others.
const (
	partitionIdle = iota
	partitionBusy
	partitionUnavailable
)

// region keeps its members ordered by zone, so that a random open upstream is found in constant time.
type region struct {
	name             id.Region
	members          []*upstream
	partitionEnds    [2]int  // ends of the idle and the busy zone
	othersPerSlotSum float64 // sum over the members of what others run on them per slot
}

func (c *Chooser) addToRegion(u *upstream) {
	r := c.regions[u.Region]
	if r == nil {
		r = &region{name: u.Region}
		c.regions[u.Region] = r
	}
	u.region, u.index = r, len(r.members)
	r.members = append(r.members, u)
	c.updateRegionLoad(u)
}

func (c *Chooser) removeFromRegion(u *upstream) {
	r := u.region
	if r == nil {
		return
	}
	c.subtractRegionLoad(u)
	r.moveTo(u, partitionUnavailable)
	last := len(r.members) - 1
	r.swap(u.index, last)
	r.members[last] = nil
	r.members = r.members[:last]
	u.region = nil
	if last == 0 {
		delete(c.regions, r.name)
	}
}

func (r *region) partitionOf(u *upstream) int {
	for p, end := range r.partitionEnds {
		if u.index < end {
			return p
		}
	}
	return partitionUnavailable
}

func (r *region) swap(i, j int) {
	r.members[i], r.members[j] = r.members[j], r.members[i]
	r.members[i].index, r.members[j].index = i, j
}

// move puts u into a zone, one boundary at a time.
func (r *region) moveTo(u *upstream, target int) {
	for p := r.partitionOf(u); p < target; p++ {
		r.partitionEnds[p]--
		r.swap(u.index, r.partitionEnds[p])
	}
	for p := r.partitionOf(u); p > target; p-- {
		r.swap(u.index, r.partitionEnds[p-1])
		r.partitionEnds[p-1]++
	}
}

// place puts u into the zone that its state demands.
func (c *Chooser) updatePartition(u *upstream) {
	partition := partitionBusy
	switch {
	case !u.acceptsNew() || u.exclusive || u.running >= u.limit() || u.health.ejected && !c.panicMode:
		partition = partitionUnavailable
	case u.running == 0:
		partition = partitionIdle
	}
	u.region.moveTo(u, partition)
}
