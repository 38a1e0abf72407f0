package balance_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/balance"
	"bluebellhold/id"
)

var restStart = time.Unix(1000, 0)

// newRestingChooser returns a chooser of two upstreams.
func newRestingChooser() *balance.Chooser {
	c := balance.New(balance.Config{Seed: 1})
	c.SetUpstreams(restStart, newUpstreams(2, 4))
	return c
}

// shed lets the next chosen upstream turn a request away and ask for rest.
func shed(t *testing.T, c *balance.Chooser, rest time.Duration) id.Upstream {
	t.Helper()
	name, ok := c.Choose(restStart, inRegionX)
	require.True(t, ok)
	c.RecordStart(restStart, name)
	c.RecordOutcome(restStart, name, balance.Shed{Rest: rest}, time.Millisecond)
	return name
}

// Guards against requests to an upstream that has asked for rest, and against one that is not used after it.
func TestRestingUpstreamGetsNoRequests(t *testing.T) {
	c := newRestingChooser()
	resting := shed(t, c, 3*time.Second)
	for i := range 200 {
		name, ok := c.Choose(restStart.Add(time.Duration(i)*10*time.Millisecond), inRegionX)
		require.True(t, ok)
		require.NotEqual(t, resting, name)
	}
	require.Contains(t, usedFrom(t, c, restStart.Add(3*time.Second)), resting)
}

// usedFrom returns the upstreams that are chosen in the 10 s from the given time on, with two requests in flight.
func usedFrom(t *testing.T, c *balance.Chooser, start time.Time) map[id.Upstream]bool {
	t.Helper()
	used := make(map[id.Upstream]bool)
	for i := range 1000 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		var started []id.Upstream
		for range 2 {
			name, ok := c.Choose(now, inRegionX)
			require.True(t, ok)
			c.RecordStart(now, name)
			started = append(started, name)
			used[name] = true
		}
		for _, name := range started {
			c.RecordOutcome(now, name, balance.Succeeded{}, time.Millisecond)
		}
	}
	return used
}

// Guards against a wrong time at which a service can be used again while all its upstreams rest, and against an upstream
// that asks for a century and is never used again.
func TestRestOfAllUpstreamsEndsInTime(t *testing.T) {
	c := newRestingChooser()
	_, ok := c.RestUntil(restStart)
	require.False(t, ok)
	shed(t, c, 3*time.Second)
	_, ok = c.RestUntil(restStart)
	require.False(t, ok)
	shed(t, c, 100*365*24*time.Hour)
	until, ok := c.RestUntil(restStart)
	require.True(t, ok)
	require.Equal(t, restStart.Add(3*time.Second), until)
	_, ok = c.Choose(restStart, inRegionX)
	require.False(t, ok)
	require.Len(t, usedFrom(t, c, restStart.Add(10*time.Minute)), 2)
}
