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

// The Zadruga's organisations: a few large ones and small ones whose rate is below one a second per instance.
var zadrugaRates = map[id.Organisation]id.TokensPerSecond{
	"podjetje": 200, "obcina": 120, "drustvo": 60, "gimnazija": 30, "sola": 12, "vrtec": 6, "druzina": 4, "zbor": 3,
}

// zadrugaOrganisations lists the organisations in a fixed order, so that a seed always gives the same run.
var zadrugaOrganisations = slices.Sorted(maps.Keys(zadrugaRates))

func secretOf(o id.Organisation) id.Digest { return id.DigestOf([]byte("key of " + o)) }

// zadruga adds the Zadruga's organisations, services and upstreams.
func (s *sim) zadruga() note.Entries {
	add := note.Entries{
		Organisations: map[id.Organisation]note.Organisation{},
		Keys:          map[id.Key]note.Key{},
		Services:      map[id.Service]note.Service{},
		Links:         map[string]note.Link{},
	}
	for o, rate := range zadrugaRates {
		add.Organisations[o] = note.Organisation{Rate: rate, Burst: max(4, id.Tokens(rate))}
		add.Keys[id.Key(o)+"-1"] = note.Key{Organisation: o, Digest: secretOf(o)}
	}
	for _, from := range simRegions {
		for _, to := range simRegions {
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

func (s *sim) addService(add note.Entries, name id.Service, servers, slots int, route note.Route) {
	upstreams := map[id.Upstream]note.Upstream{}
	for i := range servers {
		region := simRegions[i%len(simRegions)]
		u := id.Upstream(fmt.Sprintf("%s-%d", name, i))
		upstreams[u] = note.Upstream{
			Region: region, DataCentre: id.DataCentre(fmt.Sprintf("%s-%d", region, i%2)),
			Address: fmt.Sprintf("127.0.0.1:%d", 3000+len(s.servers)), Slots: id.Slots(slots),
		}
		s.servers[u] = &server{id: u, region: region, service: name, slots: slots}
		place := string(name) + "/" + string(region)
		if s.regions[place] == nil {
			s.regions[place] = &gauge{}
		}
		s.regions[place].slots += slots
	}
	add.Services[name] = note.Service{Routes: []note.Route{route}, Upstreams: upstreams}
}

// apply proposes a note at a node and returns its outcome, once there is one.
func (s *sim) apply(n *node, change note.Note) *steering.Reply {
	reply := &steering.Reply{}
	s.tickets++
	s.replies[s.tickets] = reply
	n.post(steering.NoteProposed{ID: s.tickets, Note: change, Deadline: s.now.Add(20 * time.Second)})
	return reply
}

// startZadruga lets the fleet start, accepts the first note and waits until shares and epochs have settled.
func (s *sim) startZadruga() {
	s.run(time.Second)
	reply := s.apply(s.nodes[0], note.Note{ID: "first", Add: s.zadruga()})
	s.run(30 * time.Second)
	require.NoError(s.t, reply.Err)
	require.Equal(s.t, id.Epoch(1), reply.Epoch)
	for _, n := range s.nodes {
		require.Equal(s.t, id.Epoch(1), n.state.Configuration().Epoch, n.self.Instance)
	}
}

func (s *sim) check(o id.Organisation) *call {
	return s.newCall(o, "pregled", 20*time.Millisecond, note.Small)
}

func (s *sim) newCall(o id.Organisation, service id.Service, took time.Duration, class note.Class) *call {
	c := &call{organisation: o, class: class, took: took}
	c.arrival = steering.RequestArrived{
		Service: service, Method: "GET", Path: fmt.Sprintf("/draws/%d", s.next+1), KeyDigest: secretOf(o), HasKey: true,
	}
	return c
}

// load sends requests of an organisation at random times with the mean rate, to nodes that pick chooses.
func (s *sim) load(rate float64, until time.Time, create func() *call, pick func() *node) {
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.after(wait, func() {
		if s.now.After(until) {
			return
		}
		if n := pick(); n != nil && !n.dead {
			s.call(n, create())
		}
		s.load(rate, until, create, pick)
	})
}
