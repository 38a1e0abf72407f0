package note_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/lookup"
	"bluebellhold/note"
)

// fleetConfiguration returns a configuration with the given number of client blocks and the 690 sites that they are
// assigned to.
func fleetConfiguration(blocks int) note.Configuration {
	c := note.Configuration{
		Epoch: 1 << 20, Note: "note-1048576", Sites: map[id.Site]note.Site{}, Blocks: map[string]id.Site{},
	}
	for i := range 690 {
		region := id.Region(fmt.Sprintf("region-%d", i%12))
		c.Sites[id.Site(fmt.Sprintf("site-%d", i))] = note.Site{Region: region, DataCentre: id.DataCentre(fmt.Sprintf("%s-%d", region, i%4))}
	}
	for i := range blocks {
		c.Blocks[blockName(i)] = id.Site(fmt.Sprintf("site-%d", i%690))
	}
	return c
}

// blockName returns an IPv6 block for every fourth number and an IPv4 block for the others.
func blockName(i int) string {
	if i%4 == 0 {
		return fmt.Sprintf("2001:%x:%x::/48", 0x1000+i>>8, 0x1000+i&0xff)
	}
	return fmt.Sprintf("%d.%d.%d.0/24", 16+i>>16, i>>8&0xff, i&0xff)
}

// BenchmarkConfiguration measures the encoded size, the decoding, the compilation and the retained memory of a
// configuration. The difference between the two block counts gives the cost of a client block.
func BenchmarkConfiguration(b *testing.B) {
	for _, blocks := range []int{0, 310_000} {
		body, _, err := note.Encode(fleetConfiguration(blocks))
		require.NoError(b, err)
		var decoded note.Configuration
		b.Run(fmt.Sprintf("decode/blocks=%d", blocks), func(b *testing.B) {
			heap := heapInUse()
			for b.Loop() {
				decoded, err = note.Decode(body)
				require.NoError(b, err)
			}
			b.ReportMetric(float64(len(body)), "encoded-B")
			b.ReportMetric(float64(heapInUse()-heap), "retained-B")
		})
		b.Run(fmt.Sprintf("compile/blocks=%d", blocks), func(b *testing.B) {
			for b.Loop() {
				require.NotNil(b, note.Compile(decoded))
			}
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkApplyChange measures a note that moves one client block to another site, including the encoding of the
// resulting configuration.
func BenchmarkApplyChange(b *testing.B) {
	c := fleetConfiguration(310_000)
	change := note.Note{ID: "note-1048577", BaseEpoch: &c.Epoch}
	change.Change.Blocks = map[string]id.Site{blockName(7): "site-8"}
	text, err := json.Marshal(change)
	require.NoError(b, err)
	parsed, err := note.Parse(text)
	require.NoError(b, err)
	for b.Loop() {
		next, err := note.Apply(c, parsed)
		require.NoError(b, err)
		_, _, err = note.Encode(next)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(text)), "note-B")
}

// BenchmarkStart measures the time and the peak heap size of decoding a configuration and building the lookup table, as
// an instance does when it starts.
func BenchmarkStart(b *testing.B) {
	body, _, err := note.Encode(fleetConfiguration(310_000))
	require.NoError(b, err)
	for b.Loop() {
		heapInUse()
		stop, peak := make(chan struct{}), make(chan uint64)
		go samplePeakHeap(stop, peak)
		c, err := note.Decode(body)
		require.NoError(b, err)
		var blocks []lookup.Block
		for prefix, site := range c.Blocks {
			blocks = append(blocks, lookup.Block{Prefix: netip.MustParsePrefix(prefix), Site: site})
		}
		table, err := lookup.Build(blocks)
		require.NoError(b, err)
		require.Equal(b, 310_000, table.Len())
		close(stop)
		b.ReportMetric(float64(<-peak), "peak-B")
	}
}

// samplePeakHeap samples the heap size, garbage included, until stop is closed, and sends the maximum.
func samplePeakHeap(stop <-chan struct{}, peak chan<- uint64) {
	var maxBytes uint64
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		maxBytes = max(maxBytes, stats.HeapInuse)
		select {
		case <-stop:
			peak <- maxBytes
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}
