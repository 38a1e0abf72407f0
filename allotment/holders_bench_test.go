package allotment_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
	"bluebellhold/store"
)

// BenchmarkMembers measures the cost of a membership change, which ranks the members again for each limit.
func BenchmarkMembers(b *testing.B) {
	for _, size := range []struct{ members, limits int }{{7, 80}, {42, 80}, {5200, 80}, {42, 8000}} {
		b.Run(fmt.Sprintf("members=%d/limits=%d", size.members, size.limits), func(b *testing.B) {
			var limits []allotment.Limit
			for i := range size.limits {
				limits = append(limits, allotment.Limit{
					ID: id.Limit(fmt.Sprint("organisation-", i)), Amount: allotment.Rate{Rate: 100, Burst: 100},
				})
			}
			var members []allotment.Member
			for i := range size.members {
				members = append(members, allotment.Member{Instance: id.Instance(fmt.Sprintf("instance-%04d", i)), Live: true})
			}
			l := allotment.New(allotment.Config{Self: members[0], Incarnation: 1})
			l.Reduce(epoch, allotment.MembersChanged{Members: members})
			l.Reduce(epoch, allotment.LimitsChanged{Limits: limits})
			for i := 0; b.Loop(); i++ {
				members[size.members-1].Live = i%2 == 1
				l.Reduce(epoch, allotment.MembersChanged{Members: members})
			}
		})
	}
}

// BenchmarkHolders measures the sizes of the rows and the number of transactions when the given number of holders share
// one limit.
func BenchmarkHolders(b *testing.B) {
	limit := allotment.Limit{ID: "organisation-0", Amount: allotment.Rate{Rate: 1e9, Burst: 1e9}}
	for _, holders := range []int{1, 7, 42, 64} {
		b.Run(fmt.Sprint("holders=", holders), func(b *testing.B) {
			for b.Loop() {
				sim := newSimulation(b, 1, allotment.Config{}, limit)
				sim.skipChecks = true
				writes := countShareWrites(sim)
				for i := range holders {
					sim.startProcess(fmt.Sprintf("instance-%04d", i), fmt.Sprintf("10.0.0.1:%d", 1000+i))
				}
				sim.run(2 * time.Minute)
				rows, err := sim.table.Read(context.Background(), []string{"share/organisation-0", "lease/instance-0000"})
				require.NoError(b, err)
				b.ReportMetric(float64(len(rows[0].Value)), "share-B")
				b.ReportMetric(float64(len(rows[1].Value)), "lease-B")
				b.ReportMetric(float64(*writes), "share-writes")
			}
		})
	}
}

// countShareWrites counts the transactions that write a share row, including those that fail on a conflict.
func countShareWrites(sim *simulation) *int {
	count := new(int)
	sim.intercept = func(_ *process, e allotment.Effect) bool {
		if t, ok := e.(allotment.Transact); ok && slices.ContainsFunc(t.Transaction.Writes, func(w store.Write) bool {
			return strings.HasPrefix(w.Name, "share/")
		}) {
			*count++
		}
		return false
	}
	return count
}

// BenchmarkFirstShares measures the transactions, the time in steps of 100 ms and the memory that one holder needs to
// claim the given number of limits; the memory includes the names of the limits.
func BenchmarkFirstShares(b *testing.B) {
	for _, count := range []int{8, 8000} {
		b.Run(fmt.Sprint("limits=", count), func(b *testing.B) {
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				var limits []allotment.Limit
				for i := range count {
					limits = append(limits, allotment.Limit{
						ID: id.Limit(fmt.Sprint("organisation-", i)), Amount: allotment.Rate{Rate: 100, Burst: 100},
					})
				}
				sim := newSimulation(b, 1, allotment.Config{}, limits...)
				sim.skipChecks = true
				writes := countShareWrites(sim)
				p, began := sim.startProcess("instance-0", "127.0.0.1:1"), sim.now
				for held := 0; held < count; {
					sim.run(100 * time.Millisecond)
					held = 0
					for _, row := range sim.shareRows {
						held += len(row)
					}
				}
				sim.run(time.Second)
				b.ReportMetric(float64(*writes), "transactions")
				b.ReportMetric((sim.now.Sub(began) - time.Second).Seconds(), "virtual-s")
				ledger := p.Ledger
				sim, p = nil, nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "heap-B/limit")
				runtime.KeepAlive(ledger)
				runtime.KeepAlive(limits)
			}
		})
	}
}
