package claim_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/platform"
)

// later is an event at a virtual time.
type later struct {
	at    time.Time
	event claim.Event
}

// BenchmarkConcurrent keeps 200 requests in progress against a table that takes 5 ms and an upstream that takes 20 ms
// of virtual time. It reports transactions and row writes per request, and transactions per second of virtual time.
func BenchmarkConcurrent(b *testing.B) {
	const concurrent, tableTime, runTime = 200, 5 * time.Millisecond, 20 * time.Millisecond
	ctx, now := context.Background(), start
	var table platform.Memory
	book := claim.New(claim.Config{Seed: 1})
	// Both queues are in order of time, because each delay is constant.
	var answers, runs []later
	asked, finished, transactions, writes := 0, 0, 0, 0

	var reduce func(claim.Event)
	want := func() {
		if asked++; asked > b.N {
			return
		}
		key := strconv.Itoa(asked)
		reduce(claim.Wanted{
			Request: id.Request(asked), Organisation: "school", Service: "draw", Route: "/draws", Key: key,
			Digest: id.DigestOf([]byte(key)), Deadline: now.Add(10 * time.Second),
		})
	}
	reduce = func(e claim.Event) {
		var next int
		for _, effect := range book.Reduce(now, e) {
			switch effect := effect.(type) {
			case claim.Transact:
				transactions++
				writes += len(effect.Transaction.Writes)
				result, err := table.Transact(ctx, effect.Transaction)
				done := claim.TransactionDone{ID: effect.ID, Result: result, Err: err}
				answers = append(answers, later{at: now.Add(tableTime), event: done})
			case claim.Decided:
				require.IsType(b, claim.Won{}, effect.Outcome)
				answer := claim.Answer{Status: 201, Body: []byte("done")}
				runs = append(runs, later{at: now.Add(runTime), event: claim.Finished{Request: effect.Request, Answer: answer}})
			case claim.Settled:
				next++
			}
		}
		for range next {
			finished++
			want()
		}
	}
	for range concurrent {
		want()
	}
	b.ResetTimer()
	for finished < b.N {
		queue := &answers
		if len(answers) == 0 || len(runs) > 0 && runs[0].at.Before(answers[0].at) {
			queue = &runs
		}
		e := (*queue)[0]
		*queue = (*queue)[1:]
		now = e.at
		reduce(e.event)
	}
	seconds := now.Sub(start).Seconds()
	b.ReportMetric(float64(transactions)/float64(finished), "transactions/request")
	b.ReportMetric(float64(writes)/float64(finished), "rowwrites/request")
	b.ReportMetric(float64(transactions)/seconds, "transactions/s")
	b.ReportMetric(float64(finished)/seconds, "requests/s")
}
