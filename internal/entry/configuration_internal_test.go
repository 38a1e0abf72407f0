package entry

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a look-up of routes that does not find the longest prefix.
func TestRouteWithTheLongestPrefixMatches(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	path := func() string {
		var b strings.Builder
		for range random.IntN(4) {
			fmt.Fprintf(&b, "/%c%.*s", 'a'+random.IntN(2), random.IntN(2), "b")
		}
		return "/" + strings.TrimPrefix(b.String(), "/") + []string{"", "/"}[random.IntN(2)]
	}
	for range 2000 {
		routes := make([]Route, random.IntN(8))
		for i := range routes {
			routes[i] = Route{Host: []string{"one", "two"}[random.IntN(2)], Prefix: path()}
		}
		table := newRouteTable(routes)
		for range 20 {
			host, request := []string{"one", "two", "three"}[random.IntN(3)], path()
			longest := -1
			for _, r := range routes {
				if r.Host == host && strings.HasPrefix(request, r.Prefix) {
					longest = max(longest, len(r.Prefix))
				}
			}
			got := table.match(host, request)
			if longest < 0 {
				require.Nil(t, got, "%v %s%s", routes, host, request)
				continue
			}
			require.NotNil(t, got, "%v %s%s", routes, host, request)
			require.Len(t, got.Prefix, longest, "%v %s%s", routes, host, request)
		}
	}
}

// BenchmarkMatch measures a look-up among as many routes as the largest document seen has.
func BenchmarkMatch(b *testing.B) {
	routes := make([]Route, 4200)
	for i := range routes {
		routes[i] = Route{Host: "example", Prefix: fmt.Sprintf("/route%d/", i)}
	}
	table := newRouteTable(routes)
	for b.Loop() {
		if table.match("example", "/route2100/object/7") == nil {
			b.Fatal("no match")
		}
	}
}
