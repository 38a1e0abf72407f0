package entry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// routeTimeout is that of the routes.
const routeTimeout = 2 * time.Second

// requestStop starts a stop of six seconds and returns the deadlines of the event.
func (h *harness) requestStop() entry.StopRequested {
	stop := entry.StopRequested{AnswerBy: h.now.Add(5500 * time.Millisecond), EndAt: h.now.Add(5700 * time.Millisecond)}
	h.reduce(stop)
	return stop
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Guards against requests that are sent to an upstream although the stop ends before their response, and against requests
// that are refused although there is time: callers send at any time of a stop, and upstreams take up to twice their usual
// time or fail.
func TestRequestsThatWouldOutliveAStopAreNotSent(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		h := newHarness(t)
		for range 50 {
			h.completeAttempt(h.requireDispatch("/draw/1"))
			h.now = h.now.Add(100 * time.Millisecond)
		}
		last := h.requireDispatch("/draw/1")
		h.completeAttempt(last)
		usual := last.EstimatedLatency
		stop := h.requestStop()
		inFlight := make(map[id.Request]time.Time)
		servedLate, refused := 0, 0
		handle := func(effects []entry.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case entry.Dispatch:
					require.False(t, e.UpstreamDeadline.After(stop.AnswerBy), "seed %d", seed)
					require.False(t, e.Deadline.After(stop.EndAt), "seed %d", seed)
					need := min(2*usual, e.UpstreamDeadline.Sub(h.now))
					require.False(t, h.now.Add(need).After(stop.AnswerBy), "seed %d: sent %v before the end", seed, stop.EndAt.Sub(h.now))
					inFlight[e.Request] = earlier(h.now.Add(time.Duration(random.Float64()*2*float64(usual))), e.UpstreamDeadline)
					if h.now.Add(routeTimeout).After(stop.AnswerBy) {
						servedLate++
					}
				case entry.Refuse:
					if e.Refusal.Code == entry.CodeStopping {
						require.False(t, e.Refusal.MayHaveRun)
						require.Equal(t, h.now, e.Refusal.RetryAt)
						require.Greater(t, h.now.Add(routeTimeout), stop.AnswerBy, "seed %d: refused with %v left", seed, stop.EndAt.Sub(h.now))
						refused++
					}
				case entry.EndAttempt:
					require.Fail(t, "a request was cut off", "seed %d", seed)
				}
			}
		}
		for h.now.Before(stop.EndAt.Add(100 * time.Millisecond)) {
			h.now = h.now.Add(20 * time.Millisecond)
			for r, endsAt := range inFlight {
				if h.now.Before(endsAt) {
					continue
				}
				delete(inFlight, r)
				var outcome entry.AttemptOutcome = entry.Answered{Status: 200, Elapsed: usual}
				if random.IntN(4) == 0 {
					outcome = entry.Shed{}
				}
				handle(h.reduce(entry.AttemptEnded{Request: r, Outcome: outcome}))
			}
			if random.IntN(3) == 0 {
				_, effects := h.sendRequest([]string{"/draw/1", "/look/1"}[random.IntN(2)])
				handle(effects)
			}
			handle(h.reduce(entry.Tick{}))
		}
		require.Positive(t, servedLate, "requests whose deadline is later than the stop")
		require.Positive(t, refused)
	}
}

// Guards against requests that may not be repeated and are cut off at the end of a stop, since their upstream takes far longer
// than usual: they came late in the grace period and were sent on.
func TestStopCutsOffNoLateRequestThatMayRunOnce(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		h := newHarness(t)
		for range 50 {
			h.completeAttempt(h.requireDispatch("/draw/1"))
			h.now = h.now.Add(100 * time.Millisecond)
		}
		last := h.requireDispatch("/draw/1")
		wholeTime := last.UpstreamDeadline.Sub(h.now)
		h.completeAttempt(last)
		stop := h.requestStop()
		inFlight := make(map[id.Request]entry.Dispatch)
		arrivedAt := make(map[id.Request]time.Time)
		sent, refused := 0, 0
		handle := func(effects []entry.Effect) {
			for _, e := range effects {
				switch e := e.(type) {
				case entry.Dispatch:
					sent++
					inFlight[e.Request] = e
					require.False(t, e.UpstreamDeadline.Before(arrivedAt[e.Request].Add(wholeTime)),
						"seed %d: sent with less than the time that the upstream may take, %v before the end", seed, stop.EndAt.Sub(h.now))
				case entry.Refuse:
					refused++
				case entry.EndAttempt:
					require.Fail(t, "a request was cut off", "seed %d", seed)
				}
			}
		}
		for h.now.Before(stop.EndAt.Add(100 * time.Millisecond)) {
			h.now = h.now.Add(time.Duration(1+random.IntN(100)) * time.Millisecond)
			// The upstreams leave one request of five without a response.
			for r, d := range inFlight {
				switch {
				case r%5 > 0:
					delete(inFlight, r)
					handle(h.reduce(entry.AttemptEnded{Request: r, Outcome: entry.Answered{Status: 200, Elapsed: 30 * time.Millisecond}}))
				case !h.now.Before(d.Deadline):
					delete(inFlight, r)
					handle(h.reduce(entry.AttemptEnded{Request: r, Outcome: entry.TimedOut{Elapsed: routeTimeout}}))
				}
			}
			arrivedAt[h.lastRequest+1] = h.now
			_, effects := h.sendRequest("/draw/1")
			handle(effects)
			handle(h.reduce(entry.Tick{}))
		}
		require.Positive(t, sent)
		require.Positive(t, refused)
	}
}

// Guards against a stop that closes the connection of a request which is still in flight, instead of saying that its outcome
// is unknown.
func TestRequestsInFlightAtTheEndOfAStopAreAnswered(t *testing.T) {
	h := newHarness(t)
	c := configuration()
	c.Version++
	for i := range c.Routes {
		c.Routes[i].Timeout = 20 * time.Second
	}
	h.reduce(entry.ConfigurationChanged{Configuration: c})
	h.lastRequest++
	effects := h.reduce(entry.RequestArrived{
		Request: h.lastRequest, Host: "example", Path: "/draw/1", KeyDigest: keyDigest, HasKey: true, CallerTimeout: 20 * time.Second,
	})
	require.IsType(t, entry.Dispatch{}, effects[0])
	d := effects[0].(entry.Dispatch)
	require.Equal(t, d.Deadline, d.UpstreamDeadline)
	stop := h.requestStop()
	require.False(t, h.state.NextTick(h.now).After(stop.EndAt))
	h.now = stop.EndAt
	require.Contains(t, h.reduce(entry.Tick{}), entry.EndAttempt{Request: d.Request})
	refusal := requireRefusal(t, h.endAttempt(d, entry.TimedOut{Elapsed: time.Second}))
	require.True(t, refusal.MayHaveRun)
	_, effects = h.sendRequest("/look/1")
	require.Equal(t, entry.CodeStopping, requireRefusal(t, effects).Code)
	require.NotContains(t, h.reduce(entry.Tick{}), entry.EndAttempt{Request: d.Request})
}

// Guards against a second signal that prolongs a stop.
func TestSecondStopChangesNothing(t *testing.T) {
	h := newHarness(t)
	stop := h.requestStop()
	h.now = h.now.Add(3 * time.Second)
	h.requestStop()
	h.now = stop.EndAt
	h.reduce(entry.Tick{})
	_, effects := h.sendRequest("/look/1")
	require.Equal(t, entry.CodeStopping, requireRefusal(t, effects).Code)
}
