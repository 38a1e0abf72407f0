package retry_test

import (
	"fmt"
	"time"

	"bluebellhold/id"
	"bluebellhold/retry"
)

func ExampleDecide() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	budget := retry.NewBudget(retry.BudgetConfig{})
	budget.RecordFirstAttempt(now)
	attempt := retry.Attempt{Number: 1, Deadline: now.Add(time.Second)}
	fmt.Printf("%+v\n", retry.Decide(now, retry.Shed{}, attempt, budget))
	attempt.Number = 2
	fmt.Printf("%+v\n", retry.Decide(now, retry.Broken{}, attempt, budget))
	// Output:
	// {Number:2 MayHaveRun:false}
	// {Reason:not idempotent MayHaveRun:true}
}

func ExampleSuspects() {
	now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	poison, innocent := id.DigestOf([]byte("crashes")), id.DigestOf([]byte("harmless"))
	suspects := retry.NewSuspects(retry.SuspectsConfig{})

	suspects.RecordCrash(now, "server-1", []id.Digest{poison, innocent})
	fmt.Printf("%T %+v\n", suspects.Status(now, innocent), suspects.Status(now, innocent))
	suspects.RecordCompletion(now.Add(time.Second), innocent)
	suspects.RecordCrash(now.Add(time.Second), "server-2", []id.Digest{poison})
	now = now.Add(2 * time.Second)
	fmt.Printf("%T\n", suspects.Status(now, innocent))
	fmt.Printf("%T\n", suspects.Status(now, poison))
	// Output:
	// retry.Suspect {Avoid:[server-1]}
	// retry.Clear
	// retry.Refused
}
