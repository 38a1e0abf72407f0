package allotment_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
	"bluebellhold/platform"
)

// settled returns a ledger that holds the given number of limits whole and has no renewal due.
func settled(t testing.TB, count int) (*allotment.Ledger, []allotment.Limit, time.Time) {
	var limits []allotment.Limit
	for i := range count {
		limits = append(limits, allotment.Limit{
			ID: id.Limit(fmt.Sprint("organisation-", i)), Amount: allotment.Rate{Rate: 1e9, Burst: 1e9},
		})
	}
	self := allotment.Member{Instance: "instance-0", Live: true}
	l := allotment.New(allotment.Config{Self: self})
	var table platform.Memory
	now := epoch
	events := []allotment.Event{
		allotment.MembersChanged{Members: []allotment.Member{self}}, allotment.LimitsChanged{Limits: limits},
	}
	renewed := false
	for now.Before(epoch.Add(time.Minute)) || !renewed {
		renewed = false
		events = append(events, allotment.Tick{})
		for ; len(events) > 0; events = events[1:] {
			for _, e := range l.Reduce(now, events[0]) {
				switch e := e.(type) {
				case allotment.Transact:
					result, _ := table.Transact(t.Context(), e.Transaction)
					events = append(events, allotment.TransactionDone{ID: e.ID, Result: result})
					renewed = true
				case allotment.ReadRows:
					rows, _ := table.Read(t.Context(), e.Names)
					events = append(events, allotment.RowsRead{ID: e.ID, Rows: rows})
				}
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	for _, d := range l.Dump().Limits {
		require.Equal(t, id.WholeLimit, d.Parts)
	}
	return l, limits, now
}

func BenchmarkTake(b *testing.B) {
	for _, count := range []int{8, 8000} {
		b.Run(fmt.Sprint("limits=", count), func(b *testing.B) {
			l, limits, now := settled(b, count)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Nanosecond)
				if ok, _ := l.Take(now, limits[i%count].ID, 1); !ok {
					b.Fatal("refused")
				}
			}
		})
	}
}

func BenchmarkTick(b *testing.B) {
	for _, count := range []int{8, 8000} {
		b.Run(fmt.Sprint("limits=", count), func(b *testing.B) {
			l, _, now := settled(b, count)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Nanosecond)
				l.Reduce(now, allotment.Tick{})
			}
		})
	}
}

// Guards against an allocation on the path of every request.
func TestTakeDoesNotAllocate(t *testing.T) {
	l, limits, now := settled(t, 8)
	require.Zero(t, testing.AllocsPerRun(100, func() { l.Take(now, limits[3].ID, 1) }))
}
