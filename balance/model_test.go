package balance_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/balance"
	"bluebellhold/id"
)

var epoch = time.Unix(1_000_000, 0)

var outcomes = []balance.Outcome{
	balance.Succeeded{}, balance.Shed{}, balance.Failed{}, balance.ConnectionFailed{}, balance.Cancelled{},
}

// model is a reference model of a chooser: the configuration and the requests in flight.
type model struct {
	*balance.Chooser
	now           time.Time
	upstreams     []balance.Upstream
	inFlight      map[id.Upstream]int
	exclusive     map[id.Upstream]bool
	reportedSlots map[id.Upstream]id.Slots // reported slots
}

// eligible reports whether u is eligible for a request, by the configuration and the exported state.
func (m *model) eligible(u balance.Upstream, criteria balance.Criteria) bool {
	limit := u.Slots
	if m.reportedSlots[u.ID] > 0 {
		limit = min(limit, m.reportedSlots[u.ID])
	}
	return !u.Draining && !slices.Contains(criteria.Exclude, u.ID) && !m.exclusive[u.ID] &&
		m.inFlight[u.ID] < int(limit) && (!criteria.Exclusive || m.inFlight[u.ID] == 0) &&
		(m.Dump().PanicMode || !m.Health(u.ID).Ejected)
}

func (m *model) find(name id.Upstream) (balance.Upstream, bool) {
	for _, u := range m.upstreams {
		if u.ID == name {
			return u, true
		}
	}
	return balance.Upstream{}, false
}

// firstRegion returns the first allowed region with an eligible upstream.
func (m *model) firstRegion(criteria balance.Criteria) id.Region {
	for _, r := range criteria.Regions {
		for _, u := range m.upstreams {
			if u.Region == r && m.eligible(u, criteria) {
				return r
			}
		}
	}
	return ""
}

func (m *model) choose(t *rapid.T) {
	criteria := balance.Criteria{
		Regions:   rapid.SliceOfNDistinct(rapid.SampledFrom([]id.Region{"x", "y"}), 0, 2, rapid.ID[id.Region]).Draw(t, "regions"),
		Exclude:   rapid.SliceOfN(rapid.SampledFrom(names), 0, 2).Draw(t, "exclude"),
		Exclusive: rapid.IntRange(0, 4).Draw(t, "alone") == 0,
	}
	name, ok := m.Choose(m.now, criteria)
	want := m.firstRegion(criteria)
	require.Equal(t, want != "", ok)
	if !ok {
		return
	}
	u, found := m.find(name)
	require.True(t, found)
	require.Equal(t, want, u.Region)
	require.True(t, m.eligible(u, criteria), "%+v", m.Health(name))
	if rapid.IntRange(0, 9).Draw(t, "abandon") > 0 {
		m.RecordStart(m.now, name)
		m.inFlight[name]++
		m.exclusive[name] = criteria.Exclusive
	}
}

func (m *model) check(t *rapid.T) {
	accepting, unhealthy, ejected := 0, 0, 0
	for _, u := range m.upstreams {
		require.Equal(t, m.inFlight[u.ID], m.InFlight(u.ID))
		h := m.Health(u.ID)
		require.Equal(t, u.Draining, h.Draining)
		if u.Draining {
			continue
		}
		accepting++
		if h.Unhealthy {
			unhealthy++
		}
		if h.Ejected {
			ejected++
			require.True(t, h.Unhealthy)
		}
	}
	require.LessOrEqual(t, ejected, accepting/3)
	require.Equal(t, min(unhealthy, accepting/3), ejected, "unhealthy upstreams are ejected up to the limit of a third")
	require.Equal(t, 2*unhealthy > accepting, m.Dump().PanicMode)
	for _, r := range []id.Region{"x", "y"} {
		before := m.Headroom(m.now, r)
		maxSpare := 0.0
		for _, u := range m.upstreams {
			if u.Region == r && !u.Draining {
				maxSpare += max(0, float64(int(u.Slots)-m.inFlight[u.ID]))
			}
		}
		require.LessOrEqual(t, before.Spare, maxSpare+1e-9)
		for _, age := range []time.Duration{time.Second, 10 * time.Second, time.Hour} {
			after := m.Headroom(m.now.Add(age), r)
			require.LessOrEqual(t, after.Spare, before.Spare+1e-9, "headroom must not rise without a report")
			before = after
		}
	}
}

var names = []id.Upstream{"a", "b", "c", "d", "e", "f", "g"}

// Compares the chooser with the model on random schedules. Guards against the choice of an upstream that is draining,
// full, excluded, ejected or running an exclusive request, against a refusal although an upstream is eligible, against
// wrong counts of requests in flight, against more than a third ejected, and against headroom that rises without a
// report.
func TestChooserAgainstModel(t *testing.T) {
	for range 5 {
		rapid.Check(t, compareWithModel)
	}
}

func compareWithModel(t *rapid.T) {
	m := &model{
		Chooser: balance.New(balance.Config{Seed: rapid.Uint64().Draw(t, "seed")}), now: epoch,
		inFlight: map[id.Upstream]int{}, exclusive: map[id.Upstream]bool{}, reportedSlots: map[id.Upstream]id.Slots{},
	}
	finish := func(t *rapid.T) {
		var candidates []id.Upstream
		for _, name := range names {
			if m.inFlight[name] > 0 {
				candidates = append(candidates, name)
			}
		}
		if len(candidates) == 0 {
			t.Skip("no running requests")
		}
		name := rapid.SampledFrom(candidates).Draw(t, "upstream")
		m.inFlight[name]--
		m.exclusive[name] = m.exclusive[name] && m.inFlight[name] > 0
		m.RecordOutcome(m.now, name, rapid.SampledFrom(outcomes).Draw(t, "outcome"), 10*time.Millisecond)
		if _, found := m.find(name); !found && m.inFlight[name] == 0 {
			delete(m.reportedSlots, name)
		}
	}
	t.Repeat(map[string]func(*rapid.T){
		"configure": func(t *rapid.T) {
			m.upstreams = nil
			for _, name := range names[:rapid.IntRange(0, len(names)).Draw(t, "upstreams")] {
				m.upstreams = append(m.upstreams, balance.Upstream{
					ID: name, Region: rapid.SampledFrom([]id.Region{"x", "y"}).Draw(t, "region"),
					Slots:    id.Slots(rapid.IntRange(1, 4).Draw(t, "slots")),
					Draining: rapid.IntRange(0, 5).Draw(t, "draining") == 0,
				})
			}
			m.SetUpstreams(m.now, m.upstreams)
			for _, name := range names {
				if _, found := m.find(name); !found && m.inFlight[name] == 0 {
					delete(m.reportedSlots, name)
				}
			}
		},
		"choose": m.choose, "choose again": m.choose, "finish": finish, "finish again": finish,
		"report": func(t *rapid.T) {
			u := rapid.SampledFrom(names).Draw(t, "upstream")
			l := balance.Load{
				Running: rapid.IntRange(-1, 9).Draw(t, "running"), Slots: id.Slots(rapid.IntRange(0, 4).Draw(t, "slots")),
			}
			m.RecordLoad(m.now, u, l)
			if _, found := m.find(u); found || m.inFlight[u] > 0 {
				m.reportedSlots[u] = l.Slots
			}
		},
		"probe": func(t *rapid.T) {
			for _, u := range m.NextProbes(m.now) {
				require.False(t, m.Health(u).Draining)
				m.RecordProbe(m.now, u, rapid.SampledFrom(outcomes).Draw(t, "outcome"))
			}
		},
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "step")) * time.Millisecond)
			m.Choose(m.now, balance.Criteria{})
		},
		"": m.check,
	})
}
