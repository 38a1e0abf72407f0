package entry_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
)

// Guards against parts of a limit that together exceed it while they follow the demand, as on zadruga-zreb mix --seed
// 822772842511 and ccbw-hold mix --seed 14740201555: an organisation sends far beyond its limit from the first second on,
// and the instance that its callers use changes.
func TestPartsHoldWhileTheDemandMoves(t *testing.T) {
	const instances, rate, burst = 7, 100, 100
	most := (rate*5+burst)*1.1 + 20
	var fleet []*world
	for i := range instances {
		w := &world{T: t, now: start, state: entry.New(entry.Config{
			Instance: id.Instance(fmt.Sprint("instance-", i)), Region: "osrednja", DataCentre: "osrednja-1",
			Bounds: bounds(), Started: 1,
		})}
		c := configuration()
		c.Organisations["school"] = entry.Organisation{Rate: rate, Burst: burst}
		w.reduce(entry.Configured{Configuration: c})
		w.reduce(entry.UpstreamsListed{Upstreams: upstreams()})
		fleet = append(fleet, w)
	}
	var sent []time.Time
	now := start
	for step := range 6000 {
		now = now.Add(5 * time.Millisecond)
		for i, w := range fleet {
			w.now = now
			if (step+i*57)%400 != 0 {
				continue
			}
			var members []entry.Member
			for n, other := range fleet {
				members = append(members, entry.Member{
					Instance: id.Instance(fmt.Sprint("instance-", n)), Version: uint64(step), Started: 1,
					Demand: other.state.Demand(now),
				})
			}
			w.reduce(entry.MembersListed{Members: members})
		}
		favourite := step / 500 % instances
		for n := range 3 {
			w := fleet[favourite]
			if n == 0 {
				w = fleet[step%instances]
			}
			_, effects := w.arrive("/open/1")
			if d, ok := effects[0].(entry.Dispatch); ok {
				sent = append(sent, now)
				w.end(d, entry.Answered{Status: 200, Elapsed: time.Millisecond})
			}
		}
	}
	worst := 0
	for i, from := range sent {
		n := 0
		for _, at := range sent[i:] {
			if at.Sub(from) >= 5*time.Second {
				break
			}
			n++
		}
		worst = max(worst, n)
	}
	t.Logf("most in a window: %d of %.0f", worst, most)
	require.LessOrEqual(t, float64(worst), most)
	require.Greater(t, float64(worst), most/3)
}
