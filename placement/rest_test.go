package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/placement"
)

// askForRest lets an upstream turn a request away and ask for rest.
func askForRest(t *testing.T, c *placement.Chooser, now time.Time, rest time.Duration) placement.Choice {
	t.Helper()
	choice, ok := c.Choose(now, newRequest(""))
	require.True(t, ok && choice.HasCapacity)
	c.RecordOutcome(now, c.RecordStart(now, choice, newRequest("")), newRequest(""), placement.Shed{Rest: rest})
	return choice
}

// Guards against requests for an object that are sent to its home, or wait for it, while it rests and others are free.
func TestRestingUpstreamIsPassedOver(t *testing.T) {
	c := newChooser("osrednja", newUpstreams(4, "osrednja"))
	choice, ok := c.Choose(start, newRequest("a"))
	require.True(t, ok)
	c.RecordOutcome(start, c.RecordStart(start, choice, newRequest("a")), newRequest("a"), placement.Shed{Rest: time.Second})
	for range 20 {
		other, ok := c.Choose(start.Add(500*time.Millisecond), newRequest("a"))
		require.True(t, ok && other.HasCapacity)
		require.NotEqual(t, choice.Upstream, other.Upstream)
	}
}

// Guards against all requests that return at once when a rest ends.
func TestRestedUpstreamGetsOneRequestUntilItHasAnswered(t *testing.T) {
	c := newChooser("osrednja", newUpstreams(1, "osrednja"))
	askForRest(t, c, start, time.Second)
	require.False(t, hasCapacity(c, start.Add(999*time.Millisecond)))
	now := start.Add(time.Second)
	choice, ok := c.Choose(now, newRequest(""))
	require.True(t, ok && choice.HasCapacity)
	choice = c.RecordStart(now, choice, newRequest(""))
	require.False(t, hasCapacity(c, now))
	c.RecordOutcome(now, choice, newRequest(""), placement.Answered{Elapsed: 100 * time.Millisecond})
	for range 2 {
		choice, ok = c.Choose(now, newRequest(""))
		require.True(t, ok && choice.HasCapacity)
		c.RecordStart(now, choice, newRequest(""))
	}
}

// Guards against a rest that ends with the response to a request that was sent before it.
func TestEarlierResponseDoesNotEndARest(t *testing.T) {
	c := newChooser("osrednja", newUpstreams(1, "osrednja"))
	first, ok := c.Choose(start, newRequest(""))
	require.True(t, ok)
	first = c.RecordStart(start, first, newRequest(""))
	askForRest(t, c, start, time.Second)
	c.RecordOutcome(start, first, newRequest(""), placement.Answered{Elapsed: 100 * time.Millisecond})
	require.False(t, hasCapacity(c, start.Add(900*time.Millisecond)))
	require.True(t, hasCapacity(c, start.Add(time.Second)))
}

// Guards against a rest that is forgotten when the list of upstreams changes or the upstream is missing from it for a while,
// and against one that outlives the process that asked for it.
func TestRestLastsAsLongAsTheProcessThatAskedForIt(t *testing.T) {
	list := newUpstreams(1, "osrednja")
	c := newChooser("osrednja", list)
	askForRest(t, c, start, time.Second)
	c.SetUpstreams(start, nil)
	c.SetUpstreams(start, list)
	require.False(t, hasCapacity(c, start))
	list[0].Incarnation = 2
	c.SetUpstreams(start, list)
	require.True(t, hasCapacity(c, start))
}

// Guards against a service without any upstream to wait for while all of them rest, and against a wrong time at which it can
// be used again.
func TestChooseNamesTheEndOfTheFirstRest(t *testing.T) {
	c := newChooser("osrednja", newUpstreams(2, "osrednja"))
	askForRest(t, c, start, 5*time.Second)
	askForRest(t, c, start, 2*time.Second)
	choice, ok := c.Choose(start.Add(time.Second), newRequest(""))
	require.True(t, ok)
	require.False(t, choice.HasCapacity)
	require.Equal(t, start.Add(2*time.Second), choice.NotBefore)
	require.GreaterOrEqual(t, choice.EstimatedLatency, time.Second)
}

// Guards against an upstream that asks for a century and is never used again.
func TestRestIsBounded(t *testing.T) {
	c := newChooser("osrednja", newUpstreams(1, "osrednja"))
	askForRest(t, c, start, 100*365*24*time.Hour)
	require.False(t, hasCapacity(c, start.Add(9*time.Minute)))
	require.True(t, hasCapacity(c, start.Add(10*time.Minute)))
}
