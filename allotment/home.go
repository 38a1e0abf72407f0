package allotment

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

const (
	// Below 10 tokens per second a share refills too slowly to serve requests on its own.
	minRatePerHome = 10
	// With fewer slots per home instance, most requests would need a loan.
	minSlotsPerHome = 4
	// maxHolders bounds the entries of a share row, which keeps the rounding in partsToSlots within the limit.
	maxHolders = 64
	// maxSlotsRoundedUp is the largest number of slots for which partsToSlots may round in favour of holders.
	maxSlotsRoundedUp = id.Slots(id.WholeLimit) / (maxHolders + 1)
)

// homeCount returns the number of home instances for a limit among live members.
func homeCount(amount LimitAmount, live int) int {
	count := 1
	switch amount := amount.(type) {
	case Rate:
		// Each home instance needs a burst of at least one token, else it could never spend one.
		count = min(int(min(amount.Rate/minRatePerHome, maxHolders)), int(min(amount.Burst, maxHolders)))
	case Concurrency:
		count = int(amount.Slots / minSlotsPerHome)
	}
	return min(max(count, 1), maxHolders, live)
}

// chooseHomes ranks the live members by rendezvous hashing and returns the highest ones.
func chooseHomes(limit Limit, members []Member) []id.Instance {
	live := liveMembers(limit.Region, members)
	if len(live) == 0 {
		live = liveMembers("", members)
	}
	ranked := rendezvousRank(string(limit.ID), live)
	return ranked[:homeCount(limit.Amount, len(ranked))]
}

func liveMembers(region id.Region, members []Member) []id.Instance {
	live := make([]id.Instance, 0, len(members))
	for _, m := range members {
		if m.Live && (region == "" || m.Region == region) {
			live = append(live, m.Instance)
		}
	}
	return live
}

// rendezvousRank orders instances by their hash with the key, so adding or removing one instance moves few keys.
func rendezvousRank(key string, instances []id.Instance) []id.Instance {
	type scored struct {
		instance id.Instance
		score    uint64
	}
	scores := make([]scored, 0, len(instances))
	for _, instance := range instances {
		scores = append(scores, scored{instance, xxhash.Sum64String(key + "\x00" + string(instance))})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance, b.instance))
	})
	ranked := make([]id.Instance, 0, len(scores))
	for _, s := range scores {
		ranked = append(ranked, s.instance)
	}
	return ranked
}

// targetParts returns the parts that self should hold: an even share, in whole slots for a concurrency limit.
func targetParts(amount LimitAmount, homes []id.Instance, self id.Instance) id.Parts {
	index := slices.Index(homes, self)
	if index < 0 {
		return 0
	}
	switch amount := amount.(type) {
	case Concurrency:
		return slotsToParts(amount.Slots, id.Slots(evenShare(int(amount.Slots), len(homes), index)))
	default:
		return id.Parts(evenShare(int(id.WholeLimit), len(homes), index))
	}
}

func evenShare(total, holders, index int) int {
	share := total / holders
	if index < total%holders {
		share++
	}
	return share
}

// slotsToParts returns the fewest parts that grant count of total slots. Rounding down keeps the sum of all parts
// within the whole limit.
func slotsToParts(total, count id.Slots) id.Parts {
	if total <= 0 {
		return 0
	}
	parts := id.Parts(count) * id.WholeLimit / id.Parts(total)
	for partsToSlots(total, parts) < count && parts < id.WholeLimit {
		parts++
	}
	return parts
}

// partsToSlots returns the whole slots that parts grant.
//
// One part is added before rounding down because slotsToParts rounds down: three thirds of three slots are three slots.
// With at most maxHolders holders this adds less than one slot in total as long as there are at most maxSlotsRoundedUp
// slots, so the sum of whole slots cannot exceed total. Above that, rounding down loses at most one slot per holder.
func partsToSlots(total id.Slots, parts id.Parts) id.Slots {
	if total <= 0 || parts <= 0 {
		return 0
	}
	if total <= maxSlotsRoundedUp {
		parts++
	}
	return min(total, id.Slots(parts*id.Parts(total)/id.WholeLimit))
}
