package steering_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/allotment"
	"bluebellhold/id"
	"bluebellhold/note"
)

// BenchmarkFleet measures the cost of an idle fleet by its size: messages sent, calls to the platform, writes of lease
// rows and CPU time, each per instance and second of virtual time. The time includes the simulation.
func BenchmarkFleet(b *testing.B) {
	for _, instances := range []int{7, 42, 130} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			messages, calls := 0, 0
			s := newSimulation(nil, 1, instances)
			s.partitioned = func(_, _ *instance) bool { messages++; return false }
			s.storeDown = func(*instance) bool { calls++; return false }
			s.run(30 * time.Second)
			messages, calls = 0, 0
			before := newestVersion(b, s)
			b.ResetTimer()
			for b.Loop() {
				s.run(2 * time.Second)
			}
			seconds := float64(2 * b.N * instances)
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/instance-s")
			b.ReportMetric(float64(messages)/seconds, "messages/instance-s")
			b.ReportMetric(float64(calls)/seconds, "calls/instance-s")
			b.ReportMetric(float64(newestVersion(b, s)-before)/seconds, "writes/instance-s")
		})
	}
}

// newestVersion returns the highest version of a lease row. The in-memory table counts versions over all rows, so it
// increases by one with each write of a row.
func newestVersion(b *testing.B, s *simulation) uint64 {
	var newest uint64
	for _, n := range s.instances {
		rows, err := s.store.Read(context.Background(), []string{"lease/" + string(n.self.Instance)})
		require.NoError(b, err)
		newest = max(newest, rows[0].Version)
	}
	return newest
}

// BenchmarkHeldLimits measures the periodic work of one of two instances that hold shares of the given number of
// organisations' limits, per second of virtual time. The time includes the simulation.
//
// BenchmarkTick runs a single instance, which holds no lease and so no shares.
func BenchmarkHeldLimits(b *testing.B) {
	for _, organisations := range []int{8, 8000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s := newSimulation(nil, 1, 2)
			s.run(time.Second)
			add := s.fleetEntries()
			for i := range organisations - len(organisationRates) {
				add.Organisations[id.Organisation(fmt.Sprintf("organisation-%d", i))] = note.Organisation{Rate: 100, Burst: 100}
			}
			reply := s.apply(s.instances[0], note.Note{ID: "first", Add: add})
			s.run(time.Minute)
			require.NoError(b, reply.Err)
			require.Equal(b, id.Epoch(1), s.instances[1].state.Configuration().Epoch)
			held := 0
			for _, n := range s.instances {
				for _, limit := range n.state.Dump(s.now).Ledger.(allotment.Dump).Limits {
					if limit.Parts > 0 {
						held++
					}
				}
			}
			require.GreaterOrEqual(b, held, organisations)
			for b.Loop() {
				s.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(2*b.N), "ns/instance-s")
		})
	}
}
