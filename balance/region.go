package balance

import "bluebellhold/id"

// The partitions of a region's members: eligible ones without requests of this instance, eligible ones with some, and
// the others.
const (
	partitionIdle = iota
	partitionBusy
	partitionUnavailable
)

// region keeps its members ordered by partition, so that a random eligible upstream is found in constant time.
type region struct {
	name             id.Region
	members          []*upstream
	partitionEnds    [2]int  // end indices of the idle and the busy partition
	othersPerSlotSum float64 // sum of the members' load.othersPerSlot
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

// moveTo moves u to a partition, across one boundary at a time.
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

// updatePartition moves u to the partition that matches its state.
func (c *Chooser) updatePartition(u *upstream) {
	partition := partitionBusy
	switch {
	case !u.acceptsNew() || u.exclusive || u.inFlight >= u.limit() || u.health.ejected && !c.panicMode:
		partition = partitionUnavailable
	case u.inFlight == 0:
		partition = partitionIdle
	}
	u.region.moveTo(u, partition)
}
