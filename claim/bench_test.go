package claim_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/store"
)

// BenchmarkConcurrent keeps 200 requests in flight, with a table latency of 5 ms and an upstream latency of 20 ms of
// virtual time. It reports transactions and row writes per request, and rates per second of virtual time.
func BenchmarkConcurrent(b *testing.B) {
	const concurrent, tableLatency, upstreamRounds = 200, 5 * time.Millisecond, 4
	var table store.Memory
	tracker, now := claim.New(claim.Config{Seed: 1}), start
	requested, settled, transactions, writes := 0, 0, 0, 0
	// A round takes one table latency. due holds the events of the current and the following rounds.
	var due [upstreamRounds + 1][]claim.Event
	schedule := func(rounds int, e claim.Event) { due[rounds] = append(due[rounds], e) }
	request := func() {
		requested++
		r := id.Request(requested)
		schedule(0, claim.Requested{Request: r, Key: strconv.Itoa(requested), Deadline: now.Add(10 * time.Second)})
	}
	for range min(concurrent, b.N) {
		request()
	}
	for settled < b.N {
		for i := 0; i < len(due[0]); i++ {
			for _, effect := range tracker.Reduce(now, due[0][i]) {
				switch effect := effect.(type) {
				case claim.Transact:
					transactions++
					writes += len(effect.Transaction.Writes)
					result, err := table.Transact(context.Background(), effect.Transaction)
					schedule(1, claim.TransactionDone{ID: effect.ID, Result: result, Err: err})
				case claim.Decided:
					require.IsType(b, claim.Granted{}, effect.Outcome)
					response := claim.Response{Status: 201, Body: []byte("done")}
					schedule(upstreamRounds, claim.Finished{Request: effect.Request, Response: response})
				case claim.Settled:
					if settled++; requested < b.N {
						request()
					}
				}
			}
		}
		copy(due[:], due[1:])
		due[upstreamRounds] = nil
		now = now.Add(tableLatency)
	}
	seconds := now.Sub(start).Seconds()
	b.ReportMetric(float64(transactions)/float64(settled), "transactions/request")
	b.ReportMetric(float64(writes)/float64(settled), "rowwrites/request")
	b.ReportMetric(float64(transactions)/seconds, "transactions/s")
	b.ReportMetric(float64(settled)/seconds, "requests/s")
}
