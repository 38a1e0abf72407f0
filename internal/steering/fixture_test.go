package steering_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/note"
)

// organisationRates has a few large organisations and small ones whose rate is below one request per second and
// instance.
var organisationRates = map[id.Organisation]id.TokensPerSecond{
	"podjetje": 200, "obcina": 120, "drustvo": 60, "gimnazija": 30, "sola": 12, "vrtec": 6, "druzina": 4, "zbor": 3,
}

// organisationNames lists the organisations in a fixed order, so that a seed always gives the same run.
var organisationNames = slices.Sorted(maps.Keys(organisationRates))

func keyDigest(o id.Organisation) id.Digest { return id.DigestOf([]byte("key of " + o)) }

// fleetEntries returns the organisations, services and upstreams of the first release note, and creates the upstreams.
func (s *simulation) fleetEntries() note.Entries {
	add := note.Entries{
		Organisations: map[id.Organisation]note.Organisation{},
		Keys:          map[id.Key]note.Key{},
		Services:      map[id.Service]note.Service{},
		Links:         map[string]note.Link{},
	}
	for o, rate := range organisationRates {
		add.Organisations[o] = note.Organisation{Rate: rate, Burst: max(4, id.Tokens(rate))}
		add.Keys[id.Key(o)+"-1"] = note.Key{Organisation: o, Digest: keyDigest(o)}
	}
	for _, from := range simulationRegions {
		for _, to := range simulationRegions {
			if from != to {
				add.Links[string(from+"-"+to)] = note.Link{From: from, To: to, Rate: 500_000_000}
			}
		}
	}
	s.addService(add, "pregled", 14, 6, note.Route{Path: "/", Idempotent: true})
	s.addService(add, "zrebalnik", 12, 4, note.Route{Path: "/"})
	s.addService(add, "darila", 12, 3, note.Route{Path: "/", Idempotent: true, Class: note.Bulk})
	return add
}

func (s *simulation) addService(add note.Entries, name id.Service, upstreamCount, slots int, route note.Route) {
	upstreams := map[id.Upstream]note.Upstream{}
	for i := range upstreamCount {
		region := simulationRegions[i%len(simulationRegions)]
		u := id.Upstream(fmt.Sprintf("%s-%d", name, i))
		upstreams[u] = note.Upstream{
			Region: region, DataCentre: id.DataCentre(fmt.Sprintf("%s-%d", region, i%2)),
			Address: fmt.Sprintf("127.0.0.1:%d", 3000+len(s.upstreams)), Slots: id.Slots(slots),
		}
		s.upstreams[u] = &upstream{id: u, region: region, service: name, slots: slots}
		key := string(name) + "/" + string(region)
		if s.regionLoads[key] == nil {
			s.regionLoads[key] = &regionLoad{}
		}
		s.regionLoads[key].slots += slots
	}
	add.Services[name] = note.Service{Routes: []note.Route{route}, Upstreams: upstreams}
}

// apply proposes a note at an instance and returns the reply, which is empty until the instance replies.
func (s *simulation) apply(n *instance, proposed note.Note) *steering.Reply {
	reply := &steering.Reply{}
	s.lastProposal++
	s.replies[s.lastProposal] = reply
	n.post(steering.NoteProposed{ID: s.lastProposal, Note: proposed, Deadline: s.now.Add(20 * time.Second)})
	return reply
}

// startFleet starts the fleet, applies the first note and waits until all instances have their shares and its epoch.
func (s *simulation) startFleet() {
	s.run(time.Second)
	reply := s.apply(s.instances[0], note.Note{ID: "first", Add: s.fleetEntries()})
	s.run(30 * time.Second)
	require.NoError(s.t, reply.Err)
	require.Equal(s.t, id.Epoch(1), reply.Epoch)
	for _, n := range s.instances {
		require.Equal(s.t, id.Epoch(1), n.state.Configuration().Epoch, n.self.Instance)
	}
}

func (s *simulation) newIdempotentRequest(o id.Organisation) *request {
	return s.newRequest(o, "pregled", 20*time.Millisecond, note.Small)
}

func (s *simulation) newRequest(o id.Organisation, service id.Service, serviceTime time.Duration, class note.Class) *request {
	r := &request{organisation: o, class: class, serviceTime: serviceTime}
	r.arrival = steering.RequestArrived{
		Service: service, Method: "GET", Path: fmt.Sprintf("/draws/%d", s.lastRequest+1),
		KeyDigest: keyDigest(o), HasKey: true,
	}
	return r
}

// load sends requests at random times with the mean rate per second, to the instances that pick chooses.
func (s *simulation) load(rate float64, until time.Time, create func() *request, pick func() *instance) {
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		if s.now.After(until) {
			return
		}
		if n := pick(); n != nil && !n.killed {
			s.sendRequest(n, create())
		}
		s.load(rate, until, create, pick)
	})
}
