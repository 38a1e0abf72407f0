package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

var (
	small  = allotment.Limit{ID: "small", Amount: allotment.Rate{Rate: 3, Burst: 6}}
	large  = allotment.Limit{ID: "large", Amount: allotment.Rate{Rate: 60, Burst: 20}}
	slots  = allotment.Limit{ID: "slots", Amount: allotment.Concurrent{Slots: 10}}
	region = allotment.Limit{ID: "region", Amount: allotment.Concurrent{Slots: 7}, Region: "north"}
)

func startSeven(t *testing.T, seed uint64, config allotment.Config, limits ...allotment.Limit) *world {
	w := newWorld(t, seed, config, limits...)
	for i := range 7 {
		w.start(fmt.Sprint("instance-", i), fmt.Sprint("127.0.0.1:", i))
	}
	w.run(15 * time.Second)
	for _, limit := range limits {
		w.requireWhole(limit)
	}
	return w
}

func (w *world) requireWhole(limit allotment.Limit) {
	if _, ok := limit.Amount.(allotment.Rate); ok {
		require.Equal(w.t, id.WholeLimit, w.whole(limit.ID), "limit %s at %s", limit.ID, w.now.Sub(epoch))
		return
	}
	var sum id.Tokens
	for _, p := range w.processes {
		for _, d := range p.Dump().Limits {
			if d.Limit == limit.ID && w.authority(p) {
				sum += d.Whole
			}
		}
	}
	require.Equal(w.t, float64(limit.Amount.(allotment.Concurrent).Slots), float64(sum), "limit %s", limit.ID)
}

// Guards against shares that are lost to rounding or never distributed, and writes that depend on more than leases.
func TestSharesSettleAndOnlyLeasesAreWritten(t *testing.T) {
	w := startSeven(t, 1, allotment.Config{}, small, large, slots, region)
	before := w.writes
	w.run(20 * time.Second)
	require.InDelta(t, 70, w.writes-before, 4)
}
