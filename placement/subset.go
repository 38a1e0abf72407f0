package placement

import (
	"cmp"
	"slices"
	"time"

	"bluebellhold/id"
)

// Objects whose home is in another region have it in a subset of the upstreams of the other regions. Each instance sends
// few requests across regions; spread over all upstreams, most of them would find no open connection, since upstreams
// close idle ones after some seconds.

// farSubset is the subset of the upstreams of other regions that are homes of objects of this region. It is a prefix of
// an order that all instances of the region compute alike.
type farSubset struct {
	// order holds the upstreams of other regions whose data centres are not evacuated; nil until it has been computed.
	order   []*upstream
	members map[*upstream]bool
	// planned is the number of upstreams according to the plan; zero means that there is none.
	planned   int
	checkedAt time.Time
}

const (
	// minFarUpstreams is the minimum size of the subset: with half of the upstreams of the subset gone, two remain.
	minFarUpstreams = 4
	// assumedFarRatio is the ratio of the subset's slots to those of this region before the plan is known. A region with
	// a third of the callers and a tenth of the slots moves twice as much work as it serves, to upstreams that serve as much
	// of their own regions.
	assumedFarRatio = 4.0
	// minFarRatio is the ratio of the subset's slots to those of this region below which the plan may not shrink the
	// subset. It takes the region's overflow and the peak of the next wave, for which it could not grow in time.
	minFarRatio = 2.0
	// farCheckInterval is the interval at which upstreams of the subset that take no requests are replaced.
	farCheckInterval = 500 * time.Millisecond
)

// isFarHome reports whether an upstream of another region may be the home of objects of this region.
func (c *Chooser) isFarHome(u *upstream) bool {
	return !c.features.Plan || c.far.members == nil || c.far.members[u]
}

// resetFarHomes computes the subset anew when it is used next.
func (c *Chooser) resetFarHomes() {
	c.far.order, c.far.members = nil, nil
}

// SetFarUpstreams sets the size of the subset according to the plan; zero means that none is known.
func (c *Chooser) SetFarUpstreams(count int) {
	if count = max(count, 0); count != c.far.planned {
		c.far.planned, c.far.checkedAt = count, time.Time{}
	}
}

// refreshFarHomes replaces upstreams of the subset that take no requests now by the next ones in the order.
func (c *Chooser) refreshFarHomes(now time.Time) {
	if !c.features.Plan || c.far.members != nil && now.Sub(c.far.checkedAt) < farCheckInterval {
		return
	}
	c.far.checkedAt = now
	if c.far.order == nil {
		c.far.order = c.orderFarHomes()
	}
	chosen := c.chooseFarHomes(now)
	if len(chosen) == len(c.far.members) && !slices.ContainsFunc(chosen, func(u *upstream) bool { return !c.far.members[u] }) {
		return
	}
	c.far.members = make(map[*upstream]bool, len(chosen))
	for _, u := range chosen {
		c.far.members[u] = true
	}
	c.resetRankings()
}

// orderFarHomes returns the upstreams of other regions by weighted rendezvous hashing with the name of this region, so
// that regions use different ones.
func (c *Chooser) orderFarHomes() []*upstream {
	region := hashString(string(c.config.Region))
	order := make([]*upstream, 0, len(c.ordered))
	scores := make(map[*upstream]float64, len(c.ordered))
	for _, u := range c.ordered {
		if u.Region != c.config.Region && !c.evacuated[u.DataCentre] {
			order, scores[u] = append(order, u), score(region, u)
		}
	}
	slices.SortStableFunc(order, func(a, b *upstream) int { return cmp.Compare(scores[b], scores[a]) })
	return order
}

// chooseFarHomes returns the first upstreams of the order that take requests, as many as the plan says or, without one,
// as many as have assumedFarRatio times the slots of this region.
func (c *Chooser) chooseFarHomes(now time.Time) []*upstream {
	available := make([]*upstream, 0, len(c.far.order))
	for _, u := range c.far.order {
		if u.takesFarHomes(now) {
			available = append(available, u)
		}
	}
	if len(available) == 0 {
		// All of them are as bad; the existing back-off decides.
		available = append(available, c.far.order...)
	}
	moveOtherDataCentre(available)
	count, ratio := c.far.planned, minFarRatio
	if count == 0 {
		ratio = assumedFarRatio
	}
	slots, needed := id.Slots(0), ratio*float64(c.ownSlots())
	for i, u := range available {
		if i >= max(count, minFarUpstreams) && float64(slots) >= needed {
			return available[:i]
		}
		slots += u.Slots
	}
	return available
}

// ownSlots returns the slots of the region's upstreams that are not evacuated.
func (c *Chooser) ownSlots() id.Slots {
	var slots id.Slots
	for _, u := range c.ordered {
		if u.Region == c.config.Region && !c.evacuated[u.DataCentre] {
			slots += u.Slots
		}
	}
	return slots
}

// takesFarHomes reports whether the upstream neither fails nor rests.
func (u *upstream) takesFarHomes(now time.Time) bool {
	return u.isPastBackoff(now) && (u.rest == nil || !now.Before(u.rest.until))
}

// moveOtherDataCentre moves the first upstream that shares neither region nor, failing that, data centre with the first
// one to the second position, so that each prefix of more than one upstream survives the loss of a data centre.
func moveOtherDataCentre(order []*upstream) {
	if len(order) == 0 {
		return
	}
	other := slices.IndexFunc(order, func(u *upstream) bool { return u.Region != order[0].Region })
	if other < 0 {
		other = slices.IndexFunc(order, func(u *upstream) bool { return u.DataCentre != order[0].DataCentre })
	}
	if other > 1 {
		moved := order[other]
		copy(order[2:other+1], order[1:other])
		order[1] = moved
	}
}

// preferSameRegion makes the second choice in the other regions the best one in the region of the first choice, so that
// an overflow does not change the region in which the object is served.
func (c *Chooser) preferSameRegion(object uint64, r *ranking) {
	first := r.upstreams[0]
	if !c.features.Plan || first == nil {
		return
	}
	var sameRegion ranking
	for u := range c.far.members {
		if u != first && u.Region == first.Region {
			sameRegion.add(object, u)
		}
	}
	if sameRegion.upstreams[0] != nil {
		r.upstreams[1], r.scores[1] = sameRegion.upstreams[0], sameRegion.scores[0]
	}
}

// FarUpstreams returns the upstreams of other regions that are homes of objects of this region, sorted, and nil if all
// of them are.
func (c *Chooser) FarUpstreams() []id.Upstream {
	var names []id.Upstream
	for u := range c.far.members {
		names = append(names, u.ID)
	}
	slices.Sort(names)
	return names
}
