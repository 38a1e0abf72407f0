package fleet_test

import (
	"fmt"
	"time"

	"bluebellhold/fleet"
	"bluebellhold/store"
)

func ExampleView() {
	self := store.Member{Instance: "osrednja-1", Region: "osrednja", DataCentre: "lj1"}
	other := store.Member{Instance: "osrednja-2", Region: "osrednja", DataCentre: "lj1"}
	view := fleet.New(fleet.Config{Self: self, Incarnation: 1})
	now := time.Now()
	view.Reduce(now, fleet.MembersListed{Members: []store.Member{self, other}})
	view.Reduce(now, fleet.HeartbeatReceived{Instance: "osrednja-2", Incarnation: 7})
	fmt.Println(view.Status("osrednja-2"))
	for _, change := range view.Reduce(now.Add(3*time.Second), fleet.Tick{}) {
		fmt.Println(change.Instance, change.From, change.To)
	}
	// Output:
	// live
	// osrednja-2 live suspect
}
