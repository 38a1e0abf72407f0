package steering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/note"
)

// benchState returns a fleet of one instance that serves the given number of organisations.
func benchState(b *testing.B, organisations int) (*simulation, *instance) {
	s := newSimulation(nil, 1, 1)
	s.run(time.Second)
	add := s.fleetEntries()
	for i := range organisations - len(organisationRates) {
		o := id.Organisation(fmt.Sprintf("organisation-%d", i))
		add.Organisations[o] = note.Organisation{Rate: 1e6, Burst: 1e9}
		add.Keys[id.Key(o)] = note.Key{Organisation: o, Digest: keyDigest(o)}
	}
	add.Organisations["bench"] = note.Organisation{Rate: 1e9, Burst: 1e9}
	add.Keys["bench"] = note.Key{Organisation: "bench", Digest: keyDigest("bench")}
	reply := s.apply(s.instances[0], note.Note{ID: "first", Add: add})
	s.run(30 * time.Second)
	require.NoError(b, reply.Err)
	return s, s.instances[0]
}

// BenchmarkRequest measures the reducer's events of one request: arrival with dispatch, and the end of the attempt.
//
// The target is at most 3 us together, flat from 8 to 8,000 organisations.
func BenchmarkRequest(b *testing.B) {
	for _, organisations := range []int{8, 8000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s, n := benchState(b, organisations)
			arrival := s.newIdempotentRequest("bench").arrival
			now := s.now
			arrival.Deadline = now.Add(time.Hour)
			dispatched := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Microsecond / 10)
				arrival.Request++
				for _, effect := range n.state.Reduce(now, arrival) {
					if _, ok := effect.(steering.Dispatch); ok {
						dispatched++
					}
				}
				n.state.Reduce(now, steering.AttemptEnded{Request: arrival.Request, Outcome: steering.Answered{}})
			}
			if dispatched < b.N*99/100 {
				b.Fatalf("%d of %d requests were dispatched", dispatched, b.N)
			}
		})
	}
}

// BenchmarkTick measures the periodic work that each instance does 50 times a second.
func BenchmarkTick(b *testing.B) {
	for _, organisations := range []int{8, 8000} {
		b.Run(fmt.Sprintf("organisations=%d", organisations), func(b *testing.B) {
			s, n := benchState(b, organisations)
			now := s.now
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(20 * time.Millisecond)
				n.state.Reduce(now, steering.Tick{})
			}
		})
	}
}
