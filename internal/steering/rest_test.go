package steering_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
)

// restAll lets the upstreams of pregled turn all requests away and ask for rest.
func (s *simulation) restAll(rest time.Duration) {
	for name, u := range s.upstreams {
		if strings.HasPrefix(string(name), "pregled-") {
			u.rest = rest
		}
	}
}

// Guards against requests to an upstream that has asked for rest.
func TestUpstreamThatAsksForRestGetsIt(t *testing.T) {
	s := newSimulation(t, 51, 7)
	s.startFleet()
	u := s.upstreams[id.Upstream("pregled-1")]
	u.rest = time.Minute
	s.load(200, s.now.Add(30*time.Second), func() *request { return s.newIdempotentRequest("podjetje") },
		func() *instance { return s.instances[1] })
	s.run(32 * time.Second)
	require.Positive(t, u.shed)
	// The users tolerate two more requests.
	require.LessOrEqual(t, u.shed, 3)
}

// Guards against requests that wait until their deadline for upstreams that all rest longer than that.
func TestRequestsAreRefusedAtOnceWhileAllUpstreamsRest(t *testing.T) {
	s := newSimulation(t, 52, 7)
	s.startFleet()
	s.restAll(time.Minute)
	n := s.instances[1]
	for range 200 {
		s.sendRequest(n, s.newIdempotentRequest("podjetje"))
		s.run(20 * time.Millisecond)
	}
	r := s.newIdempotentRequest("podjetje")
	sentAt := s.now
	s.sendRequest(n, r)
	s.run(time.Millisecond)
	require.NotNil(t, r.refusal)
	require.Equal(t, steering.CodeCapacity, r.refusal.Code)
	require.Equal(t, steering.NotRun, r.refusal.Outcome)
	require.Greater(t, r.refusal.RetryAt.Sub(sentAt), 30*time.Second)
}
