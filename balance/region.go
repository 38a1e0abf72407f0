package balance

import "bluebellhold/id"

// The zones of a region's members: those without own requests, those with some that may get more, and the others.
const (
	idle = iota
	busy
	shut
)

// region keeps its members ordered by zone, so that a random open upstream is found in constant time.
type region struct {
	name    id.Region
	members []*upstream
	ends    [2]int  // ends of the idle and the busy zone
	load    float64 // sum over the members of what others run on them per slot
}

func (c *Chooser) join(u *upstream) {
	r := c.regions[u.Region]
	if r == nil {
		r = &region{name: u.Region}
		c.regions[u.Region] = r
	}
	u.region, u.index = r, len(r.members)
	r.members = append(r.members, u)
	c.reload(u)
}

func (c *Chooser) leave(u *upstream) {
	r := u.region
	if r == nil {
		return
	}
	c.unload(u)
	r.move(u, shut)
	last := len(r.members) - 1
	r.swap(u.index, last)
	r.members[last] = nil
	r.members = r.members[:last]
	u.region = nil
	if last == 0 {
		delete(c.regions, r.name)
	}
}

func (r *region) zone(u *upstream) int {
	for z, end := range r.ends {
		if u.index < end {
			return z
		}
	}
	return shut
}

func (r *region) swap(i, j int) {
	r.members[i], r.members[j] = r.members[j], r.members[i]
	r.members[i].index, r.members[j].index = i, j
}

// move puts u into a zone, one boundary at a time.
func (r *region) move(u *upstream, zone int) {
	for z := r.zone(u); z < zone; z++ {
		r.ends[z]--
		r.swap(u.index, r.ends[z])
	}
	for z := r.zone(u); z > zone; z-- {
		r.swap(u.index, r.ends[z-1])
		r.ends[z-1]++
	}
}

// place puts u into the zone that its state demands.
func (c *Chooser) place(u *upstream) {
	zone := busy
	switch {
	case !u.open() || u.alone || u.running >= u.limit() || u.health.ejected && !c.panicking:
		zone = shut
	case u.running == 0:
		zone = idle
	}
	u.region.move(u, zone)
}
