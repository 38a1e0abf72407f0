package queue_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/id"
	"bluebellhold/note"
	"bluebellhold/queue"
)

// model is a reference fair queue that scans all items in each operation.
type model struct {
	items       []waitingItem
	startTag    map[string]float64 // by class and organisation
	tieBreak    map[string]int
	virtualTime map[note.Class]float64
	inFlight    []queue.Item
	sequence    int
}

type waitingItem struct {
	queue.Item
	sequence int
	pushedAt time.Time
}

func flowKey(i queue.Item) string { return string(i.Class) + "/" + string(i.Organisation) }

func (m *model) countWaiting(match func(queue.Item) bool) int {
	n := 0
	for _, e := range m.items {
		if match(e.Item) {
			n++
		}
	}
	return n
}

func (m *model) waitingInClass(c note.Class) int {
	return m.countWaiting(func(i queue.Item) bool { return i.Class == c })
}

func (m *model) push(now time.Time, item queue.Item) {
	m.sequence++
	k := flowKey(item)
	if m.countWaiting(func(i queue.Item) bool { return flowKey(i) == k }) == 0 {
		m.startTag[k] = max(m.startTag[k], m.virtualTime[item.Class])
		m.tieBreak[k] = m.sequence
	}
	m.items = append(m.items, waitingItem{Item: item, sequence: m.sequence, pushedAt: now})
}

// next returns the index of the item that the class serves next.
func (m *model) next(c note.Class) int {
	next := -1
	for i, e := range m.items {
		if e.Class == c && (next < 0 || m.less(e, m.items[next])) {
			next = i
		}
	}
	return next
}

func (m *model) less(a, b waitingItem) bool {
	switch ka, kb := flowKey(a.Item), flowKey(b.Item); {
	case ka != kb && m.startTag[ka] != m.startTag[kb]:
		return m.startTag[ka] < m.startTag[kb]
	case ka != kb:
		return m.tieBreak[ka] < m.tieBreak[kb]
	case !a.Deadline.Equal(b.Deadline):
		return a.Deadline.Before(b.Deadline)
	}
	return a.sequence < b.sequence
}

func (m *model) removeAt(i int) {
	c := m.items[i].Class
	m.items = append(m.items[:i:i], m.items[i+1:]...)
	if m.waitingInClass(c) > 0 {
		return
	}
	m.virtualTime[c] = 0
	for k := range m.startTag {
		if k[:len(c)] == string(c) {
			m.startTag[k] = 0
		}
	}
}

func (m *model) dequeue(i int) {
	item := m.items[i].Item
	m.sequence++
	m.virtualTime[item.Class] = max(m.virtualTime[item.Class], m.startTag[flowKey(item)])
	m.startTag[flowKey(item)] += float64(item.Cost)
	m.tieBreak[flowKey(item)] = m.sequence
	m.inFlight = append(m.inFlight, item)
	m.removeAt(i)
}

func (m *model) requeue(now time.Time, i int) {
	item := m.inFlight[i]
	m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
	m.startTag[flowKey(item)] = max(m.startTag[flowKey(item)]-float64(item.Cost), 0)
	m.push(now, item)
}

// Compares the queue with the model on random schedules. Guards against an item that is lost, served twice, out of order
// or after its deadline, and against a violated class rule or limit. The repetition is needed: a charge that outlived the
// busy period of one class shows up only after 2220 schedules.
func TestQueueAgainstModel(t *testing.T) {
	for range 20 {
		rapid.Check(t, compareWithModel)
	}
}

func compareWithModel(t *rapid.T) {
	config := queue.Config{ClassLimit: rapid.IntRange(1, 30).Draw(t, "length"), SmallIdleTimeout: -1}
	config.OrganisationLimit = rapid.IntRange(1, config.ClassLimit).Draw(t, "each")
	q, now, next := queue.New(config), epoch, id.Request(0)
	m := &model{startTag: map[string]float64{}, tieBreak: map[string]int{}, virtualTime: map[note.Class]float64{}}
	expire := func() {
		expired := map[id.Request]bool{}
		for i := 0; i < len(m.items); {
			if e := m.items[i]; !now.Before(e.Deadline) {
				expired[e.Request] = true
				m.removeAt(i)
				continue
			}
			i++
		}
		for _, item := range q.PopExpired(now) {
			require.True(t, expired[item.Request], "request %d", item.Request)
			delete(expired, item.Request)
		}
		require.Empty(t, expired)
	}
	t.Repeat(map[string]func(*rapid.T){
		"push": func(t *rapid.T) {
			next++
			item := queue.Item{
				Request:      next,
				Organisation: id.Organisation(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation")),
				Class:        rapid.SampledFrom([]note.Class{note.Small, note.Bulk}).Draw(t, "class"),
				Cost:         id.Tokens(rapid.IntRange(1, 5).Draw(t, "cost")),
				Deadline:     now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "timeout")) * time.Second),
			}
			own := m.countWaiting(func(i queue.Item) bool { return flowKey(i) == flowKey(item) })
			err := q.Push(now, item)
			if own >= min(config.OrganisationLimit, config.ClassLimit-m.waitingInClass(item.Class)) {
				var full *queue.FullError
				require.ErrorAs(t, err, &full)
				return
			}
			require.NoError(t, err)
			m.push(now, item)
			var duplicate *queue.DuplicateError
			require.ErrorAs(t, q.Push(now, item), &duplicate)
		},
		"next": func(t *rapid.T) {
			free := rapid.IntRange(0, 6).Draw(t, "free")
			bulkInFlight := 0
			for _, r := range m.inFlight {
				if r.Class == note.Bulk {
					bulkInFlight++
				}
			}
			bulkLimit := max(1, (len(m.inFlight)+free)/3)
			smallWaiting, bulkWaiting := m.waitingInClass(note.Small), m.waitingInClass(note.Bulk)
			item, ok := q.Next(now, id.Slots(free))
			require.Equal(t, free > 0 && smallWaiting+bulkWaiting > 0, ok)
			if !ok {
				return
			}
			if smallWaiting > 0 && item.Class == note.Bulk {
				require.Less(t, bulkInFlight, bulkLimit)
			}
			index := m.next(item.Class)
			require.Equal(t, m.items[index].Item, item)
			m.dequeue(index)
		},
		"done": func(t *rapid.T) {
			if len(m.inFlight) == 0 {
				t.Skip("no running requests")
			}
			i := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "which")
			if rapid.Bool().Draw(t, "return") {
				q.Requeue(now, m.inFlight[i])
				m.requeue(now, i)
				return
			}
			q.Done(now, m.inFlight[i].Class, m.inFlight[i].Organisation, 0)
			m.inFlight = append(m.inFlight[:i:i], m.inFlight[i+1:]...)
		},
		"remove": func(t *rapid.T) {
			request := id.Request(rapid.Uint64Range(1, uint64(next)+1).Draw(t, "request"))
			found := -1
			for i, e := range m.items {
				if e.Request == request {
					found = i
				}
			}
			_, ok := q.Remove(request)
			require.Equal(t, found >= 0, ok)
			if ok {
				m.removeAt(found)
			}
		},
		"time": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(1, 10).Draw(t, "step")) * time.Second)
		},
		"": func(t *rapid.T) {
			expire()
			require.Equal(t, len(m.items), q.Len())
			oldest, ok := q.OldestPushTime()
			require.Equal(t, len(m.items) > 0, ok)
			first := -1
			for i, e := range m.items {
				if first < 0 || e.sequence < m.items[first].sequence {
					first = i
				}
			}
			if ok {
				require.Equal(t, m.items[first].pushedAt, oldest)
			}
			waiting, inFlight := 0, 0
			for _, o := range q.Dump().Organisations {
				waiting, inFlight = waiting+o.Waiting, inFlight+o.InFlight
			}
			require.Equal(t, []int{len(m.items), len(m.inFlight)}, []int{waiting, inFlight})
		},
	})
}
