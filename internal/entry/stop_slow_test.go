package entry_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/entry"
)

// Guards against a stop in which a slow attempt is broken off for another one that the stop then refuses: the caller gets
// 502 in place of the response that the first upstream was about to give.
func TestStopDoesNotAbandonAttemptsThatItWillNotRepeat(t *testing.T) {
	h := newSpeedHarness(t, bounds(), time.Second)
	usual := h.requireDispatch("/look/1").EstimatedLatency
	for left := 3 * usual; left < 12*usual; left += usual / 4 {
		h := newSpeedHarness(t, bounds(), time.Second)
		stop := h.requestStop()
		h.now = stop.AnswerBy.Add(-left)
		_, effects := h.sendRequest("/look/1")
		d, ok := effects[0].(entry.Dispatch)
		if !ok {
			continue
		}
		took := h.abandonedWithin(stop.EndAt.Sub(h.now) - time.Millisecond)
		if took == 0 {
			continue
		}
		effects = h.endAttempt(d, entry.Abandoned{Elapsed: took})
		if refuse, ok := effects[0].(entry.Refuse); ok {
			require.Fail(t, "an attempt was broken off and not repeated",
				"%v before the end, usual latency %v: abandoned after %v with %v left, then %v, may have run %v",
				left, usual, took, stop.AnswerBy.Sub(h.now), refuse.Refusal.Code, refuse.Refusal.MayHaveRun)
		}
	}
}
