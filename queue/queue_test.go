package queue_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/queue"
)

var epoch = time.Unix(1_000_000, 0)

// Guards against an organisation that gets more than its fair share beside another one that is always backlogged: over
// any interval, the cost served to the two may differ by at most twice the maximum cost.
func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(queue.Config{ClassLimit: 4000})
		var request id.Request
		push := func(organisation id.Organisation, cost int) {
			request++
			_ = q.Push(epoch, queue.Item{
				Request: request, Organisation: organisation, Cost: id.Tokens(cost),
				Deadline: epoch.Add(time.Duration(1+request%7) * time.Second),
			})
		}
		const maxCost = 9
		cost := rapid.IntRange(1, maxCost)
		for range 150 {
			push("a", cost.Draw(t, "a"))
			push("b", cost.Draw(t, "b"))
		}
		difference, low, high := 0.0, 0.0, 0.0
		for range 150 {
			if rapid.Bool().Draw(t, "other") {
				push(id.Organisation("c"+strconv.Itoa(rapid.IntRange(0, 5).Draw(t, "name"))), cost.Draw(t, "c"))
			}
			item, ok := q.Next(epoch, 1)
			require.True(t, ok)
			q.Done(epoch, item.Class, item.Organisation, 0)
			switch item.Organisation {
			case "a":
				difference += float64(item.Cost)
			case "b":
				difference -= float64(item.Cost)
			}
			low, high = min(low, difference), max(high, difference)
		}
		require.LessOrEqual(t, high-low, 2.0*maxCost)
	})
}

// Guards against starvation of bulk by a permanent small backlog, and against bulk on more than a third of the slots.
func TestBulkIsBoundedAndNotStarved(t *testing.T) {
	for _, slots := range []int{1, 2, 3, 12} {
		q, now, request, inFlight, bulkInFlight := queue.New(queue.Config{}), epoch, id.Request(0), 0, 0
		completions := map[int][]queue.Item{}
		served := map[note.Class]time.Duration{}
		for tick := range 6_000 {
			for _, item := range completions[tick] {
				serviceTime := map[note.Class]time.Duration{note.Small: 10 * time.Millisecond, note.Bulk: 300 * time.Millisecond}[item.Class]
				q.Done(now, item.Class, item.Organisation, serviceTime)
				served[item.Class] += serviceTime
				inFlight--
				if item.Class == note.Bulk {
					bulkInFlight--
				}
			}
			delete(completions, tick)
			// Small requests arrive at twice the rate that all slots together can serve.
			for i := range slots + 1 {
				request++
				class := map[bool]note.Class{true: note.Bulk, false: note.Small}[i == 0]
				_ = q.Push(now, queue.Item{Request: request, Organisation: "a", Class: class, Deadline: now.Add(time.Hour)})
			}
			for inFlight < slots {
				item, ok := q.Next(now, id.Slots(slots-inFlight))
				if !ok {
					break
				}
				inFlight++
				end := tick + 2
				if item.Class == note.Bulk {
					bulkInFlight++
					end = tick + 60
				}
				completions[end] = append(completions[end], item)
				require.LessOrEqual(t, bulkInFlight, max(1, slots/3))
			}
			now = now.Add(5 * time.Millisecond)
		}
		share := float64(served[note.Bulk]) / float64(served[note.Bulk]+served[note.Small])
		require.Greater(t, share, 0.11, "%d slots", slots)
		require.Less(t, share, 0.38, "%d slots", slots)
	}
}

// Guards, with constant service times, against accepting a request that expires in the queue, and against refusing one
// that would have started in time.
func TestDeadlineEstimate(t *testing.T) {
	q, now := queue.New(queue.Config{}), epoch
	for i := range 4 {
		require.NoError(t, q.Push(now, queue.Item{Request: id.Request(i), Organisation: "a", Deadline: now.Add(time.Hour)}))
		_, ok := q.Next(now, id.Slots(4-i))
		require.True(t, ok)
	}
	q.Done(now, note.Small, "a", 10*time.Millisecond)
	_, ok := q.Next(now, 1)
	require.False(t, ok)
	accepted := 0
	for i := range 100 {
		err := q.Push(now, queue.Item{Request: id.Request(100 + i), Organisation: "a", Deadline: now.Add(101 * time.Millisecond)})
		if err == nil {
			accepted++
			continue
		}
		var deadlineError *queue.DeadlineError
		require.ErrorAs(t, err, &deadlineError)
		require.False(t, deadlineError.EstimatedStart.Before(deadlineError.Deadline))
	}
	require.Equal(t, 41, accepted, "one free slot and 40 places in 100 ms on 4 slots of 10 ms")
	require.NoError(t, q.Push(now, queue.Item{Request: 1000, Organisation: "b", Deadline: now.Add(6 * time.Millisecond)}),
		"another organisation does not wait for the backlog of the first")
}

// Guards against an estimate for small requests that counts slots occupied by bulk as available.
func TestEstimateLeavesOutSlotsHeldByBulk(t *testing.T) {
	q, request := queue.New(queue.Config{}), id.Request(0)
	push := func(class note.Class, timeout time.Duration) error {
		request++
		return q.Push(epoch, queue.Item{Request: request, Organisation: "a", Class: class, Deadline: epoch.Add(timeout)})
	}
	run := func(class note.Class, free id.Slots) {
		require.NoError(t, push(class, time.Hour))
		_, ok := q.Next(epoch, free)
		require.True(t, ok)
	}
	run(note.Bulk, 4)
	run(note.Bulk, 3)
	run(note.Small, 2)
	q.Done(epoch, note.Small, "a", 10*time.Millisecond)
	run(note.Small, 2)
	run(note.Small, 1)
	accepted := 0
	for push(note.Small, 51*time.Millisecond) == nil {
		accepted++
	}
	require.Equal(t, 10, accepted, "two slots serve ten requests of 10 ms in 50 ms")
}

// Guards against one organisation that fills the queue, against several that fill it together, and against a backlog of
// one class that causes refusals in the other.
func TestBoundLeavesRoom(t *testing.T) {
	q, request := queue.New(queue.Config{ClassLimit: 100}), id.Request(0)
	for range 100 {
		for _, organisation := range []id.Organisation{"a", "b", "c"} {
			request++
			_ = q.Push(epoch, queue.Item{Request: request, Organisation: organisation, Deadline: epoch.Add(time.Hour)})
		}
	}
	require.Equal(t, 75, q.Len())
	require.NoError(t, q.Push(epoch, queue.Item{Request: request + 1, Organisation: "d", Deadline: epoch.Add(time.Hour)}))
	require.NoError(t, q.Push(epoch, queue.Item{Request: request + 2, Organisation: "a", Class: note.Bulk, Deadline: epoch.Add(time.Hour)}))
}

// Guards against a bulk request that occupies a slot which is idle only briefly between two small requests.
func TestSmallIdleTimeoutKeepsSlotsForSmall(t *testing.T) {
	q, deadline := queue.New(queue.Config{}), epoch.Add(time.Hour)
	require.NoError(t, q.Push(epoch, queue.Item{Request: 1, Organisation: "a", Deadline: deadline}))
	for i := range 3 {
		require.NoError(t, q.Push(epoch, queue.Item{Request: id.Request(2 + i), Organisation: "a", Class: note.Bulk, Deadline: deadline}))
	}
	for _, want := range []id.Request{1, 2} {
		item, ok := q.Next(epoch, 3-id.Slots(want))
		require.True(t, ok)
		require.Equal(t, want, item.Request)
	}
	_, ok := q.Next(epoch, 1)
	require.False(t, ok)
	_, ok = q.Next(epoch.Add(time.Second), 1)
	require.True(t, ok)
}

// Guards against bulk that occupies slots which small requests use on average, and against a small request that waits
// for the first bulk request to finish.
func TestBulkLeavesSlotsForSmall(t *testing.T) {
	q, now, request := queue.New(queue.Config{}), epoch, id.Request(0)
	push := func(class note.Class) {
		request++
		require.NoError(t, q.Push(now, queue.Item{Request: request, Organisation: "a", Class: class, Deadline: now.Add(time.Hour)}))
	}
	for i := range 10 {
		push(note.Small)
		_, ok := q.Next(now, id.Slots(12-i))
		require.True(t, ok)
	}
	now = now.Add(10 * time.Second)
	push(note.Small)
	push(note.Bulk)
	push(note.Bulk)
	for i, want := range []note.Class{note.Small, note.Bulk} {
		item, ok := q.Next(now, id.Slots(2-i))
		require.True(t, ok)
		require.Equal(t, want, item.Class)
	}
	q.Done(now, note.Small, "a", time.Second)
	_, ok := q.Next(now, 1)
	require.False(t, ok, "small requests need 10.8 of 12 slots and bulk has one, although its bound is four")
	_, ok = q.Next(now.Add(time.Second/2), 1)
	require.True(t, ok, "bulk is due")
}

// newCycle returns a function that pushes, starts and ends one request, on a queue with 16 requests of 8 organisations.
func newCycle(organisations int) func() {
	q, request := queue.New(queue.Config{ClassLimit: 2 * organisations}), id.Request(0)
	names := make([]id.Organisation, organisations)
	push := func(name id.Organisation) {
		request++
		_ = q.Push(epoch, queue.Item{Request: request, Organisation: name, Deadline: epoch.Add(time.Duration(request))})
	}
	for i := range names {
		names[i] = id.Organisation(fmt.Sprint("organisation-", i))
	}
	for range 16 {
		push(names[request%8])
	}
	return func() {
		push(names[int(request)%organisations])
		item, _ := q.Next(epoch, 1)
		q.Done(epoch, item.Class, item.Organisation, time.Millisecond)
	}
}

// Guards against per-request allocations in the steady state.
func TestSteadyStateDoesNotAllocate(t *testing.T) {
	step := newCycle(1000)
	for range 5000 {
		step()
	}
	require.Zero(t, testing.AllocsPerRun(5000, step))
}

func BenchmarkCycle(b *testing.B) {
	for _, organisations := range []int{8, 8000} {
		b.Run(strconv.Itoa(organisations), func(b *testing.B) {
			step := newCycle(organisations)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}

func ExampleQueue() {
	q, now := queue.New(queue.Config{}), time.Unix(0, 0)
	for i, organisation := range []id.Organisation{"workplace", "workplace", "workplace", "school"} {
		_ = q.Push(now, queue.Item{Request: id.Request(i), Organisation: organisation, Deadline: now.Add(time.Second)})
	}
	for {
		item, ok := q.Next(now, 1)
		if !ok {
			break
		}
		fmt.Println(item.Request, item.Organisation)
		q.Done(now, item.Class, item.Organisation, 10*time.Millisecond)
	}
	// Output:
	// 0 workplace
	// 3 school
	// 1 workplace
	// 2 workplace
}

// Guards against bulk that starts on even more slots when a burst of small requests begins, although it has just exceeded
// its guaranteed share on idle slots. This raised the worst-served organisation's p99 in the second after a move of
// traffic to 1.54 times its p99 alone on the service.
func TestBulkAboveItsShareYieldsToBurst(t *testing.T) {
	const slots = 12
	serviceTimes := map[note.Class]time.Duration{note.Small: 10 * time.Millisecond, note.Bulk: 300 * time.Millisecond}
	q, now, request := queue.New(queue.Config{}), epoch, id.Request(0)
	var inFlight []note.Class
	push := func(class note.Class, count int) {
		for range count {
			request++
			require.NoError(t, q.Push(now, queue.Item{Request: request, Organisation: "a", Class: class, Deadline: now.Add(time.Hour)}))
		}
	}
	start := func() (bulk int) {
		for len(inFlight) < slots {
			item, ok := q.Next(now, id.Slots(slots-len(inFlight)))
			if !ok {
				break
			}
			inFlight = append(inFlight, item.Class)
			if item.Class == note.Bulk {
				bulk++
			}
		}
		return bulk
	}
	finish := func(class note.Class) {
		inFlight = slices.DeleteFunc(inFlight, func(c note.Class) bool {
			if c == class {
				q.Done(now, class, "a", serviceTimes[class])
			}
			return c == class
		})
	}

	// Single small requests keep their class active while bulk runs on a third of the slots for a second.
	push(note.Bulk, 100)
	startedBefore := 0
	for range 100 {
		push(note.Small, 1)
		startedBefore += start()
		now = now.Add(serviceTimes[note.Small])
		finish(note.Small)
		if now.Sub(epoch)%serviceTimes[note.Bulk] == 0 {
			finish(note.Bulk)
		}
	}
	require.Greater(t, startedBefore, 8, "bulk uses idle slots")

	finish(note.Bulk)
	push(note.Small, 200)
	started := 0
	for range 50 {
		finish(note.Small)
		push(note.Small, slots)
		started += start()
		now = now.Add(serviceTimes[note.Small])
	}
	require.Zero(t, started, "bulk requests in the first half second of the burst")
}
