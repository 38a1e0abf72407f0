package allotment_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

const windowSpan = 5 * time.Second

// Guards against sliding windows that together admit more than the fleet's limit within any window, for any arrivals.
func TestSlidingWindowsStayWithinTotalLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := float64(rapid.IntRange(4, 60).Draw(t, "most"))
		fractions := []float64{0.5, 0.3, 0.2}
		windows := make([]allotment.SlidingWindow, len(fractions))
		now := time.Unix(100, 0)
		for i := range windows {
			windows[i].SetLimit(now, id.Tokens(fractions[i]*limit), windowSpan)
		}
		var admissions []time.Time
		for range rapid.IntRange(50, 300).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "gap")) * time.Millisecond)
			if windows[rapid.IntRange(0, len(fractions)-1).Draw(t, "instance")].Take(now) {
				admissions = append(admissions, now)
			}
		}
		for i, from := range admissions {
			admitted := 0
			for _, at := range admissions[i:] {
				if at.Sub(from) < windowSpan {
					admitted++
				}
			}
			require.LessOrEqual(t, float64(admitted), limit, "within the window from %v", from)
		}
	})
}

// Guards against a restarted process that spends the tokens that its predecessor has just spent.
func TestSlidingWindowCountsPredecessorSpending(t *testing.T) {
	now := time.Unix(100, 0)
	var s allotment.SlidingWindow
	s.SetLimit(now, 10, windowSpan)
	s.AssumeSpent(now, 10)
	require.False(t, s.Take(now))
	require.False(t, s.Take(now.Add(400*time.Millisecond)))
	require.True(t, s.Take(now.Add(windowSpan)))
}

// Guards against a NextTokenAt at which there is still no token.
func TestSlidingWindowNextTokenAtAdmits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		var s allotment.SlidingWindow
		s.SetLimit(now, 3, windowSpan)
		for range rapid.IntRange(3, 40).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			s.Take(now)
		}
		at := s.NextTokenAt(now)
		require.True(t, s.Take(at))
	})
}

// Guards against a limit below one token that admits the first request.
func TestSlidingWindowBelowOneTokenAdmitsNothing(t *testing.T) {
	now := time.Unix(100, 0)
	var s allotment.SlidingWindow
	s.SetLimit(now, 0.5, windowSpan)
	require.False(t, s.Take(now))
	require.True(t, s.NextTokenAt(now).After(now.Add(windowSpan)))
}
