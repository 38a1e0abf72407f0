package note_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/note"
)

func loadReport(west, east note.Load) note.LoadReport {
	return note.LoadReport{Load: map[id.Service]map[id.Region]note.Load{"pregled": {"west": west, "east": east}}}
}

// Guards against accepting a drain, shift or link that the fleet lacks the capacity for, and against rejecting a
// feasible one.
func TestPlanRejectsInfeasibleChanges(t *testing.T) {
	base := mustApply(t, note.Configuration{}, fullNote)
	base = mustApply(t, base, `{"id":"n2","withdraw":{"drains":["p2"],"shifts":["winter"]}}`)
	load := func(running id.Slots, rate id.TokensPerSecond) note.Load {
		return note.Load{InFlight: running, Rate: rate, Known: true}
	}
	drain := `"add":{"drains":{"p1":{"service":"pregled"}}}`
	shift := `"add":{"shifts":{"s":{"service":"pregled","from":"west","to":"east","percent":%d,"rate":%d,"burst":1}}}`
	for _, c := range []struct {
		body    string
		load    note.LoadReport
		path    string
		caution string
	}{
		{drain, loadReport(load(3, 30), load(3, 30)), "", ""},
		{drain, loadReport(load(3, 30), load(4, 40)), "add.drains.p1", ""},
		{drain, note.LoadReport{}, "", "drains.p1"},
		{`"withdraw":{"upstreams":{"pregled":["p1"]}}`, loadReport(load(4, 40), load(4, 40)), "withdraw.upstreams.pregled.0", ""},
		{`"add":{"drains":{"p1":{"service":"pregled"},"p2":{"service":"pregled"}}}`, note.LoadReport{}, "add.drains.p1", ""},
		// At 0.1 s per request, a limit of 20 per second takes 2 of the 3 spare slots in the east.
		{fmt.Sprintf(shift, 50, 20), loadReport(load(3, 30), load(3, 30)), "", ""},
		{fmt.Sprintf(shift, 50, 40), loadReport(load(3, 30), load(3, 30)), "add.shifts.s.rate", ""},
		{fmt.Sprintf(shift, 50, 14), loadReport(load(3, 30), load(3, 30)), "add.shifts.s.rate", ""},
		{fmt.Sprintf(shift, 50, 1000), note.LoadReport{}, "", "shifts.s"},
		{fmt.Sprintf(shift, 0, 1), loadReport(load(0, 0), load(6, 60)), "add.shifts.s.rate", ""},
		{`"add":{"links":{"l":{"from":"west","to":"south","rate":1}}}`, note.LoadReport{}, "add.links.l.to", ""},
	} {
		changes, err := note.Plan(base, mustParse(t, `{"id":"n3",`+c.body+`}`), c.load)
		if c.path != "" {
			var infeasible *note.InfeasibleError
			require.ErrorAs(t, err, &infeasible, c.body)
			require.Equal(t, c.path, errorPaths(t, err)[0], c.body)
			continue
		}
		require.NoError(t, err, c.body)
		require.Len(t, changes, 1, c.body)
		if c.caution != "" {
			require.Equal(t, c.caution, changes[0].Path)
		}
		require.Equal(t, c.caution != "", changes[0].Caution != "", c.body)
	}
}

// Guards against two shifts that each fit the destination region but overload it together.
func TestPlanSumsShiftCaps(t *testing.T) {
	base := mustApply(t, note.Configuration{}, fullNote)
	body := `{"id":"n","withdraw":{"drains":["p2"],"shifts":["winter"]},"add":{"sites":{"jug":{"region":"south","datacentre":"s1"}},"shifts":{
	 "a":{"service":"pregled","from":"west","to":"east","percent":10,"rate":20,"burst":1},
	 "b":{"service":"pregled","from":"south","to":"east","percent":10,"rate":20,"burst":1}}}}`
	known := note.Load{InFlight: 3, Rate: 30, Known: true}
	_, err := note.Plan(base, mustParse(t, body), loadReport(known, known))
	require.Equal(t, []string{"add.shifts.b.rate"}, errorPaths(t, err))
}

// Guards against printing the digest of a key.
func TestPlanListsChangesWithoutDigests(t *testing.T) {
	changes, err := note.Plan(note.Configuration{}, mustParse(t, fullNote), note.LoadReport{})
	require.Equal(t, []string{"add.shifts.winter.rate"}, errorPaths(t, err), "the only upstream in the east is drained")
	require.Len(t, changes, 11)
	for _, c := range changes {
		require.Equal(t, "add", c.Verb)
		require.NotContains(t, c.String(), digestA)
	}
}
