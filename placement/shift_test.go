package placement_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/placement"
)

const (
	// shiftWindow and maxShift are the users' bound on the fraction of a region's requests that change the region in which
	// they run from one window to the next in calm times.
	shiftWindow = 2 * time.Second
	maxShift    = 0.15
	// The load: a region with a seventh of the upstreams gets more requests than they can serve, until its traffic falls to
	// a sixth.
	shiftPeakRate = 220.0
	shiftFallAt   = 12 * time.Second
	shiftEnd      = 16 * time.Second
)

// localFractions plays the load and returns the fraction of the requests of each window that run in their own region.
func localFractions(t *testing.T) []float64 {
	all := newSimUpstreams()
	var list []placement.Upstream
	for _, u := range all {
		list = append(list, u.Upstream)
	}
	const region = id.Region("stajerska")
	c := newChooser(region, list)
	for _, other := range instanceRegions {
		if other != region {
			c.ObserveRTT(other, simRTT)
		}
	}
	random := rand.New(rand.NewPCG(7, 7))
	local, total := make([]float64, shiftEnd/shiftWindow), make([]float64, shiftEnd/shiftWindow)
	var pending completionHeap
	for now := start; ; {
		rate := shiftPeakRate
		if now.Sub(start) >= shiftFallAt {
			rate /= 6
		}
		now = now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		if now.Sub(start) >= shiftEnd {
			break
		}
		for len(pending) > 0 && pending[0].at.Before(now) {
			e := heap.Pop(&pending).(completion)
			e.record(e.at)
		}
		object := fmt.Sprint(random.IntN(simObjects))
		req := newRequest(object)
		choice, ok := c.Choose(now, req)
		if !ok || !choice.HasCapacity {
			// It would wait and be refused.
			continue
		}
		choice = c.RecordStart(now, choice, req)
		u := all[choice.Upstream]
		window := int(now.Sub(start) / shiftWindow)
		total[window]++
		rtt := simRTT
		if u.Region == region {
			local[window]++
			rtt = 0
		}
		sentAt, at := now, u.serve(now.Add(rtt/2), object).Add(rtt/2)
		heap.Push(&pending, completion{at, func(now time.Time) {
			c.RecordOutcome(now, choice, req, placement.Answered{Elapsed: at.Sub(sentAt), Load: u.load(at)})
		}})
	}
	for i := range local {
		require.Positive(t, total[i])
		local[i] /= total[i]
	}
	return local
}

// Guards against requests that ran in other regions while their own was full and return all at once when the traffic falls,
// as at the end of ccbw-hold's days with seed 1.
func TestRequestsReturnToTheirRegionSlowly(t *testing.T) {
	fractions := localFractions(t)
	t.Logf("in the own region, by window: %.2f", fractions)
	for i := int(shiftFallAt / shiftWindow); i < len(fractions); i++ {
		require.LessOrEqual(t, fractions[i]-fractions[i-1], maxShift)
	}
}
