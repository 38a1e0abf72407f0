package lookup_test

import (
	"fmt"
	"net/netip"
	"time"

	"bluebellhold/id"
	"bluebellhold/lookup"
)

func ExampleTable_Find() {
	table, err := lookup.Build([]lookup.Block{
		{Prefix: netip.MustParsePrefix("192.0.2.0/24"), Site: "north"},
		{Prefix: netip.MustParsePrefix("192.0.2.128/25"), Site: "south"},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(table.Find(netip.MustParseAddr("192.0.2.200")))
	next, err := table.Apply(lookup.Delta{Remove: []netip.Prefix{netip.MustParsePrefix("192.0.2.128/25")}})
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(next.Find(netip.MustParseAddr("192.0.2.200")))
	// Output:
	// south true
	// north true
}

func ExampleRank() {
	candidates := lookup.NewCandidates([]lookup.Member{
		{Instance: "far", Region: "inland", Live: true},
		{Instance: "far-home", Region: "willamette", Live: true},
		{Instance: "near", Region: "puget", Live: true},
		{Instance: "near-home", Region: "puget", Live: true},
		{Instance: "leaving", Region: "puget"},
	})
	fmt.Println(lookup.Rank(candidates, lookup.Client{
		Region:        "puget",
		HomeInstances: []id.Instance{"far-home", "near-home", "leaving"},
		Latencies:     map[id.Region]time.Duration{"willamette": 35 * time.Millisecond, "inland": 35 * time.Millisecond},
	}))
	// Output:
	// [near-home near far-home far]
}
