package claim_test

import (
	"context"
	"fmt"
	"time"

	"bluebellhold/claim"
	"bluebellhold/id"
	"bluebellhold/store"
)

// An instance executes the effects of a Tracker and reports their results as events. Here the table responds at once.
func Example() {
	ctx, now := context.Background(), time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	var table store.Memory
	tracker := claim.New(claim.Config{Instance: "entry-1", Incarnation: 1, Seed: 42})

	var reduce func(e claim.Event)
	reduce = func(e claim.Event) {
		for _, effect := range tracker.Reduce(now, e) {
			switch effect := effect.(type) {
			case claim.Transact:
				result, err := table.Transact(ctx, effect.Transaction)
				reduce(claim.TransactionDone{ID: effect.ID, Result: result, Err: err})
			case claim.Decided:
				fmt.Printf("request %d: %T\n", effect.Request, effect.Outcome)
			case claim.Settled:
				fmt.Printf("request %d: settled\n", effect.Request)
			}
		}
	}

	requested := claim.Requested{
		Organisation: "school", Service: "draw", Route: "/draws", Key: "draw-2026",
		Digest: id.DigestOf([]byte("the request")), Deadline: now.Add(10 * time.Second),
	}
	requested.Request = 1
	reduce(requested)
	requested.Request = 2
	reduce(requested)
	reduce(claim.Finished{Request: 1, Response: claim.Response{Status: 201, Body: []byte("drawn")}})
	requested.Request = 3
	reduce(requested)
	// Output:
	// request 1: claim.Granted
	// request 2: claim.InProgress
	// request 1: settled
	// request 3: claim.Replay
}
