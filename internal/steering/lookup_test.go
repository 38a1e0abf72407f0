package steering_test

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/note"
)

// Guards against look-ups that ignore the client's block, return a leaving or a killed instance, or rank the home
// instances of a small organisation after others of the region.
func TestLookupNamesUsableInstancesOfTheClientsRegion(t *testing.T) {
	s := newSimulation(t, 31, 7)
	s.startFleet()
	reply := s.apply(s.instances[0], note.Note{ID: "blocks", Add: note.Entries{
		Sites:  map[id.Site]note.Site{"koper": {Region: "primorska", DataCentre: "primorska-0"}},
		Blocks: map[string]id.Site{"10.9.0.0/16": "koper"},
	}})
	s.run(5 * time.Second)
	require.NoError(t, reply.Err)
	client := netip.MustParseAddr("10.9.3.4")
	lookupInstances := func(o id.Organisation) []id.Instance {
		result, refusal := s.instances[0].state.Lookup(s.now, steering.LookupQuery{
			Service: "pregled", KeyDigest: keyDigest(o), HasKey: true, Client: client,
		})
		require.Nil(t, refusal)
		require.Equal(t, s.now.Add(5*time.Second), result.Expires)
		var names []id.Instance
		for _, i := range result.Instances {
			names = append(names, i.Instance)
		}
		return names
	}
	require.ElementsMatch(t, []id.Instance{"primorska-2", "primorska-5"}, lookupInstances("podjetje")[:2])
	home := s.homeOf("zbor")
	others := slices.DeleteFunc(lookupInstances("zbor"), func(name id.Instance) bool { return name[:4] == "prim" })
	require.Equal(t, home, others[0], "the home instance comes first among the other regions")

	s.instances[2].post(steering.StopRequested{})
	s.instances[5].killed = true
	s.run(4 * time.Second)
	require.NotContains(t, lookupInstances("podjetje"), id.Instance("primorska-2"))
	require.NotContains(t, lookupInstances("podjetje"), id.Instance("primorska-5"))
}

func (s *simulation) homeOf(o id.Organisation) id.Instance {
	for _, dumped := range s.instances[0].state.Dump(s.now).Organisations {
		if dumped.Organisation == o {
			return dumped.Homes[0]
		}
	}
	return ""
}
