package balance_test

import (
	"math"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/balance"
	"bluebellhold/id"
)

// Guards against impossible figures in the load report of one upstream that leave the region without headroom for long, or
// make it endless.
func TestImpossibleLoadReportsAreBounded(t *testing.T) {
	for _, odd := range []balance.Load{
		{Running: math.MinInt64, Slots: math.MinInt64},
		{Running: math.MaxInt64, Slots: math.MaxInt64},
		{Running: -1},
		{Age: math.MinInt64},
		{Age: math.MaxInt64},
		{Running: math.MaxInt64},
	} {
		c := balance.New(balance.Config{})
		c.SetUpstreams(epoch, newUpstreams(4, 6))
		now := epoch
		report := func(load balance.Load) {
			for range 60 {
				now = now.Add(500 * time.Millisecond)
				for i := range 4 {
					c.RecordLoad(now, id.Upstream(strconv.Itoa(i)), balance.Load{Running: 1, Slots: 6})
				}
				if load != (balance.Load{}) {
					c.RecordLoad(now, "0", load)
				}
			}
		}
		report(odd)
		h := c.Headroom(now, "x")
		require.False(t, math.IsNaN(h.InFlight) || math.IsNaN(h.Spare) || h.InFlight < 0 || h.InFlight > 1e7, "%+v %+v", odd, h)
		require.LessOrEqual(t, h.Spare, 24.0, "%+v", odd)
		_, ok := c.Choose(now, inRegionX)
		require.True(t, ok)
		report(balance.Load{})
		h = c.Headroom(now, "x")
		require.InDelta(t, 4, h.InFlight, 1, "%+v", odd)
		require.Greater(t, h.Spare, 10.0, "%+v", odd)
	}
}
