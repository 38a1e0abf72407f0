package steering_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
)

// contactTime is the users' bound after which callers of a severed instance must be served like those of others.
const contactTime = 4 * time.Second

// sever cuts the instances at the given indices off from all upstreams.
func (s *simulation) sever(indices ...int) {
	for _, i := range indices {
		s.severed[s.instances[i].self.Instance] = true
	}
}

// loadSevered sends requests to the severed instances for the duration and returns how many there were and how many were
// served.
func (s *simulation) loadSevered(duration time.Duration, create func() *request) (sent, served int) {
	finished := len(s.finished)
	var severed []*instance
	for _, n := range s.instances {
		if s.severed[n.self.Instance] {
			severed = append(severed, n)
		}
	}
	s.load(40, s.now.Add(duration), create, func() *instance { return severed[s.random.IntN(len(severed))] })
	s.run(duration + 2*time.Second)
	for _, r := range s.finished[finished:] {
		sent++
		if r.refusal == nil {
			served++
		}
	}
	return sent, served
}

// Guards against an instance that reaches no upstream and refuses its callers although another instance could reach the
// upstreams for it, be it one in its region or, if all of them are cut off, one in another region.
func TestCallersOfASeveredInstanceAreServed(t *testing.T) {
	for name, indices := range map[string][]int{"one": {1}, "a region": {1, 4}, "most": {0, 1, 2, 4, 5}} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 41, 7)
			s.startFleet()
			s.sever(indices...)
			key := 0
			create := func() *request {
				if key++; key%4 == 0 {
					return s.newClaimedRequest("podjetje", fmt.Sprint("severed-", key))
				}
				return s.newIdempotentRequest("podjetje")
			}
			s.loadSevered(contactTime, create)
			sent, served := s.loadSevered(10*time.Second, create)
			require.GreaterOrEqual(t, 10*served, 9*sent, "%d of %d served", served, sent)
			s.requireAtMostOnce()
		})
	}
}

// Guards against requests that are taken for poison requests, and refused by all instances, because they were in flight
// while an instance lost its links.
func TestLostLinksMakeNoRequestASuspect(t *testing.T) {
	s := newSimulation(t, 42, 7)
	s.startFleet()
	s.sever(1)
	n := s.instances[1]
	for range 2 {
		r := s.newIdempotentRequest("podjetje")
		r.arrival.Path = "/draws/same"
		r.broken = true
		s.sendRequest(n, r)
		s.run(50 * time.Millisecond)
	}
	s.loadSevered(contactTime, func() *request { return s.newIdempotentRequest("podjetje") })
	for _, other := range s.instances {
		r := s.newIdempotentRequest("podjetje")
		r.arrival.Path = "/draws/same"
		s.sendRequest(other, r)
		s.run(time.Second)
		require.Nil(t, r.refusal)
	}
}

// Guards against look-ups that name an instance that reaches no upstream while others in the region do.
func TestLookupsPreferInstancesThatReachUpstreams(t *testing.T) {
	s := newSimulation(t, 43, 7)
	s.startFleet()
	s.sever(1)
	s.loadSevered(contactTime, func() *request { return s.newIdempotentRequest("podjetje") })
	for _, n := range s.instances {
		for _, i := range n.state.LookupFor(s.now, "podjetje", netip.MustParseAddr("192.0.2.1")).Instances {
			require.NotEqual(t, s.instances[1].self.Instance, i.Instance)
		}
	}
	s.severed = map[id.Instance]bool{}
	s.run(contactTime)
	require.True(t, s.instances[1].state.LendsLinks())
}

// Guards against instances that lend each other links that neither has.
func TestSeveredInstanceLendsNoLinks(t *testing.T) {
	s := newSimulation(t, 44, 7)
	s.startFleet()
	require.True(t, s.instances[1].state.LendsLinks())
	s.sever(1)
	s.loadSevered(contactTime, func() *request { return s.newIdempotentRequest("podjetje") })
	require.False(t, s.instances[1].state.LendsLinks())
}
