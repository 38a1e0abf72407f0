package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// newSettledProcess returns a process that holds the whole of count limits and has just renewed its lease.
func newSettledProcess(t testing.TB, count int) (*process, []allotment.Limit, time.Time) {
	var limits []allotment.Limit
	for i := range count {
		limits = append(limits, allotment.Limit{
			ID: id.Limit(fmt.Sprint("organisation-", i)), Amount: allotment.Rate{Rate: 1e9, Burst: 1e9},
		})
	}
	sim := newSimulation(t, 1, allotment.Config{}, limits...)
	sim.skipChecks = true
	p := sim.startProcess("instance-0", "127.0.0.1:1")
	sim.run(time.Minute)
	for before := sim.transactions; sim.transactions == before || p.Dump().PendingTransactions > 0; {
		sim.run(10 * time.Millisecond)
	}
	require.Len(t, p.Dump().Limits, count)
	sim.requireFullyHeld(limits[count-1])
	return p, limits, p.localTime(sim.now)
}

func benchmarkLimitCounts(b *testing.B, operation func(p *process, now time.Time, limit id.Limit) bool) {
	for _, count := range []int{8, 8000} {
		b.Run(fmt.Sprint("limits=", count), func(b *testing.B) {
			p, limits, now := newSettledProcess(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Nanosecond)
				if !operation(p, now, limits[i%count].ID) {
					b.Fatal("refused")
				}
			}
		})
	}
}

func BenchmarkTake(b *testing.B) {
	benchmarkLimitCounts(b, func(p *process, now time.Time, limit id.Limit) bool {
		ok, _ := p.Take(now, limit, 1)
		return ok
	})
}

func BenchmarkTick(b *testing.B) {
	benchmarkLimitCounts(b, func(p *process, now time.Time, _ id.Limit) bool {
		return len(p.Reduce(now, allotment.Tick{})) == 0
	})
}

// Guards against an allocation on the hot path of every request.
func TestTakeDoesNotAllocate(t *testing.T) {
	p, limits, now := newSettledProcess(t, 8)
	require.Zero(t, testing.AllocsPerRun(100, func() { p.Take(now, limits[3].ID, 1) }))
}
