package allotment_test

import (
	"context"
	"fmt"
	"time"

	"bluebellhold/allotment"
	"bluebellhold/store"
)

// Example runs one ledger against a table in memory until it holds a whole limit, and spends from it.
func Example() {
	var table store.Memory
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	self := allotment.Member{Instance: "north-1", Region: "north", Address: "127.0.0.1:7000", Live: true}
	ledger := allotment.New(allotment.Config{Self: self, Incarnation: 1})

	var run func(e allotment.Event)
	run = func(e allotment.Event) {
		for _, effect := range ledger.Reduce(now, e) {
			switch effect := effect.(type) {
			case allotment.Transact:
				result, err := table.Transact(context.Background(), effect.Transaction)
				run(allotment.TransactionDone{ID: effect.ID, Result: result, Err: err})
			case allotment.ReadRows:
				rows, err := table.Read(context.Background(), effect.Names)
				run(allotment.RowsRead{ID: effect.ID, SentAt: now, Rows: rows, Err: err})
			}
		}
	}
	run(allotment.MembersChanged{Members: []allotment.Member{self}})
	limit := allotment.Limit{ID: "school", Amount: allotment.Rate{Rate: 5, Burst: 10}}
	run(allotment.LimitsChanged{Limits: []allotment.Limit{limit}})
	for range 5 {
		now = now.Add(200 * time.Millisecond)
		run(allotment.Tick{})
	}
	spent, _ := ledger.Take(now, limit.ID, 3)
	tooMuch, _ := ledger.Take(now, limit.ID, 3)
	fmt.Println("spent:", spent, "too much:", tooMuch)

	run(allotment.StopRequested{})
	fmt.Println("released:", ledger.IsReleased())
	// Output:
	// spent: true too much: false
	// released: true
}
