package lookup_test

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/id"
	"bluebellhold/lookup"
)

// findByScan finds the longest matching prefix by a linear scan.
func findByScan(blocks map[netip.Prefix]id.Site, a netip.Addr) (site id.Site, found bool) {
	longest := -1
	for p, s := range blocks {
		if p.Contains(a.Unmap()) && p.Bits() > longest {
			site, found, longest = s, true, p.Bits()
		}
	}
	return site, found
}

// drawAddr draws from few values, so that prefixes nest and contain many addresses.
func drawAddr(t *rapid.T) netip.Addr {
	if rapid.Bool().Draw(t, "v6") {
		raw := [16]byte{0x20, 1, rapid.Byte().Draw(t, "b"), 15: byte(rapid.IntRange(0, 3).Draw(t, "last"))}
		return netip.AddrFrom16(raw)
	}
	last := byte(rapid.IntRange(0, 3).Draw(t, "last"))
	return netip.AddrFrom4([4]byte{10, byte(rapid.IntRange(0, 3).Draw(t, "b")), rapid.Byte().Draw(t, "c"), last})
}

func drawPrefix(t *rapid.T) netip.Prefix {
	a := drawAddr(t)
	p, err := a.Prefix(rapid.IntRange(0, a.BitLen()).Draw(t, "bits"))
	require.NoError(t, err)
	return p
}

// drawBlocks draws blocks with different prefixes.
func drawBlocks(t *rapid.T, maxCount int) []lookup.Block {
	block := rapid.Custom(func(t *rapid.T) lookup.Block {
		return lookup.Block{Prefix: drawPrefix(t), Site: id.Site(strconv.Itoa(rapid.IntRange(0, 9).Draw(t, "site")))}
	})
	return rapid.SliceOfNDistinct(block, 0, maxCount, func(b lookup.Block) netip.Prefix {
		return b.Prefix
	}).Draw(t, "blocks")
}

// Guards against a wrong longest-prefix match, and against a delta that changes the table to which it is applied.
func TestFindMatchesLinearScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		blocks, model := drawBlocks(t, 40), map[netip.Prefix]id.Site{}
		for _, b := range blocks {
			model[b.Prefix] = b.Site
		}
		table, err := lookup.Build(blocks)
		require.NoError(t, err)
		probes := rapid.SliceOfN(rapid.Custom(drawAddr), 10, 30).Draw(t, "probes")
		check := func(table *lookup.Table, model map[netip.Prefix]id.Site) {
			require.Equal(t, len(model), table.Len())
			for _, a := range probes {
				wantSite, want := findByScan(model, a)
				for _, form := range []netip.Addr{a, netip.AddrFrom16(a.As16())} {
					site, found := table.Find(form)
					require.Equal(t, want, found)
					require.Equal(t, wantSite, site)
				}
			}
		}
		check(table, model)

		changed := maps.Clone(model)
		var delta lookup.Delta
		for _, b := range blocks {
			if rapid.IntRange(0, 3).Draw(t, "remove") == 0 {
				delta.Remove = append(delta.Remove, b.Prefix)
				delete(changed, b.Prefix)
			}
		}
		delta.Put = drawBlocks(t, 10)
		for _, b := range delta.Put {
			changed[b.Prefix] = b.Site
		}
		next, err := table.Apply(delta)
		require.NoError(t, err)
		check(next, changed)
		check(table, model)
	})
}

// Guards against blocks that are accepted but never found, and against an invalid delta that is accepted.
func TestRejectedBlocks(t *testing.T) {
	good := lookup.Block{Prefix: netip.MustParsePrefix("10.0.0.0/8"), Site: "a"}
	requireRejected := func(want lookup.Reason, table *lookup.Table, err error) {
		var blockErr *lookup.BlockError
		require.Nil(t, table)
		require.ErrorAs(t, err, &blockErr)
		require.Equal(t, want, blockErr.Reason)
	}
	for reason, blocks := range map[lookup.Reason][]lookup.Block{
		lookup.ReasonInvalid:    {{Site: "a"}},
		lookup.ReasonUnmasked:   {{Prefix: netip.MustParsePrefix("10.0.0.1/8")}},
		lookup.ReasonIPv4Mapped: {{Prefix: netip.MustParsePrefix("::ffff:10.0.0.0/104")}},
		lookup.ReasonDuplicate:  {good, good},
	} {
		table, err := lookup.Build(blocks)
		requireRejected(reason, table, err)
		table, err = new(lookup.Table).Apply(lookup.Delta{Put: blocks})
		requireRejected(reason, table, err)
	}
	table, err := new(lookup.Table).Apply(lookup.Delta{Remove: []netip.Prefix{good.Prefix}})
	requireRejected(lookup.ReasonAbsent, table, err)
}

// Guards against an Apply that modifies the table while other goroutines read it.
func TestFindDuringApply(t *testing.T) {
	blocks, addresses := fleetBlocks(2000)
	table, err := lookup.Build(blocks)
	require.NoError(t, err)
	var reader sync.WaitGroup
	reader.Go(func() {
		for i, a := range addresses {
			if site, _ := table.Find(a); site != blocks[i].Site {
				t.Errorf("address %v is at %s, not %s", a, site, blocks[i].Site)
			}
		}
	})
	next := table
	for _, b := range blocks {
		next, err = next.Apply(lookup.Delta{Put: []lookup.Block{{Prefix: b.Prefix, Site: "moved"}}})
		require.NoError(t, err)
	}
	reader.Wait()
}

// Guards against a ranking that mixes tiers, includes an instance that is not live, or depends on the input's order.
func TestRankOrder(t *testing.T) {
	regions := []id.Region{"a", "b", "c", "d"}
	latencies := map[id.Region]time.Duration{"b": 35, "c": 70}
	rapid.Check(t, func(t *rapid.T) {
		var members []lookup.Member
		client := lookup.Client{Region: "a", Latencies: latencies, Seed: rapid.Uint64().Draw(t, "seed")}
		classes := map[id.Instance]int{}
		for i := range rapid.SampledFrom([]int{0, 1, 7, 20, 200}).Draw(t, "count") {
			regionIndex := rapid.SampledFrom([]int{0, 0, 1, 2, 3, 3}).Draw(t, "region")
			m := lookup.Member{
				Instance: id.Instance(strconv.Itoa(i)), Region: regions[regionIndex], Live: rapid.Bool().Draw(t, "live"),
			}
			members = append(members, m)
			class := 20*min(regionIndex, 1) + 2*regionIndex + 1
			if rapid.Bool().Draw(t, "home") {
				client.HomeInstances = append(client.HomeInstances, m.Instance)
				class = 10*min(regionIndex, 1) + regionIndex
			}
			if m.Live {
				classes[m.Instance] = class
			}
		}
		order := lookup.Rank(lookup.NewCandidates(members), client)
		require.ElementsMatch(t, slices.Collect(maps.Keys(classes)), order)
		require.True(t, slices.IsSortedFunc(order, func(x, y id.Instance) int { return classes[x] - classes[y] }))
		permuted := lookup.NewCandidates(rapid.Permutation(members).Draw(t, "permuted"))
		require.Equal(t, order, lookup.Rank(permuted, client))
		client.Limit = 3
		require.Equal(t, order[:min(3, len(order))], lookup.Rank(permuted, client))
	})
}

// Guards against a ranking that gives all clients the same first instance.
func TestRankSpreadsFirstInstance(t *testing.T) {
	candidates := lookup.NewCandidates(fleetMembers(4, 1))
	firsts := map[id.Instance]int{}
	for seed := range uint64(4000) {
		firsts[lookup.Rank(candidates, lookup.Client{Region: "0", Seed: seed})[0]]++
	}
	require.Len(t, firsts, 4)
	for _, count := range firsts {
		require.InDelta(t, 1000, count, 150)
	}
}

func fleetMembers(count, regions int) (members []lookup.Member) {
	for i := range count {
		name, region := id.Instance("entry-"+strconv.Itoa(i)), id.Region(strconv.Itoa(i%regions))
		members = append(members, lookup.Member{Instance: name, Region: region, Live: true})
	}
	return members
}

// fleetBlocks returns distinct blocks of 690 sites, three quarters of them IPv4, and for each an address for which it is
// the longest match. The prefix lengths are the most common ones among clients' networks.
func fleetBlocks(count int) ([]lookup.Block, []netip.Addr) {
	random := rand.New(rand.NewPCG(1, 2))
	seen := map[netip.Prefix]bool{}
	var blocks []lookup.Block
	var addresses []netip.Addr
	for len(blocks) < count {
		raw := [16]byte{0x20, byte(random.IntN(16))}
		for i := 2; i < 6; i++ {
			raw[i] = byte(random.Uint32())
		}
		a, bits := netip.AddrFrom16(raw), 48
		if len(blocks)%4 != 0 {
			a, bits = netip.AddrFrom4([4]byte{byte(1 + random.IntN(220)), raw[3], raw[4], 0}), 24
		}
		p := netip.PrefixFrom(a, bits)
		if seen[p] {
			continue
		}
		seen[p] = true
		blocks = append(blocks, lookup.Block{Prefix: p, Site: id.Site("site-" + strconv.Itoa(random.IntN(690)))})
		addresses = append(addresses, a.Next())
	}
	return blocks, addresses
}

const fleetSize = 310_000

func BenchmarkFind(b *testing.B) {
	blocks, addresses := fleetBlocks(fleetSize)
	table, err := lookup.Build(blocks)
	require.NoError(b, err)
	rand.New(rand.NewPCG(3, 4)).Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	found := 0
	b.ResetTimer()
	for i := range b.N {
		if _, ok := table.Find(addresses[i%len(addresses)]); ok {
			found++
		}
	}
	require.Equal(b, b.N, found)
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "lookups/s")
}

func BenchmarkBuild(b *testing.B) {
	blocks, _ := fleetBlocks(fleetSize)
	var before, after runtime.MemStats
	var table *lookup.Table
	for range b.N {
		table = nil
		runtime.GC()
		runtime.ReadMemStats(&before)
		table, _ = lookup.Build(blocks)
		runtime.GC()
		runtime.ReadMemStats(&after)
	}
	require.Equal(b, fleetSize, table.Len())
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/(1<<20), "table-MiB")
}

func BenchmarkApply100(b *testing.B) {
	blocks, _ := fleetBlocks(fleetSize)
	table, err := lookup.Build(blocks)
	require.NoError(b, err)
	b.ResetTimer()
	for i := range b.N {
		from := i * 100 % (fleetSize - 100)
		table, err = table.Apply(lookup.Delta{Put: blocks[from : from+100]})
		require.NoError(b, err)
	}
}

func BenchmarkRank(b *testing.B) {
	for _, count := range []int{7, 5200} {
		candidates := lookup.NewCandidates(fleetMembers(count, 12))
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for i := range b.N {
				client := lookup.Client{Region: "3", HomeInstances: []id.Instance{"entry-3", "entry-4"}, Seed: uint64(i), Limit: 7}
				lookup.Rank(candidates, client)
			}
		})
	}
}
