package allotment_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/allotment"
	"bluebellhold/id"
)

// Guards against buckets that together give out more than the limit within a window: they replace each other without
// knowing what their predecessors gave out, and divide the limit between them anew.
func TestTokenBucketsKeepTheLimit(t *testing.T) {
	const rate, depth = 20.0, 15.0
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		buckets := make([]allotment.TokenBucket, rapid.IntRange(1, 4).Draw(t, "buckets"))
		type grant struct {
			at     time.Time
			tokens int
		}
		var grants []grant
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(buckets)-1).Draw(t, "bucket")
			switch rapid.IntRange(0, 3).Draw(t, "action") {
			case 0:
				buckets[i] = allotment.TokenBucket{}
			case 1:
				for n := range buckets {
					part := 1 / float64(len(buckets))
					buckets[n].SetLimit(now, id.TokensPerSecond(rate*part), id.Tokens(depth*part))
				}
			case 2:
				taken := buckets[i].Take(now, rapid.IntRange(-1, 40).Draw(t, "tokens"))
				require.GreaterOrEqual(t, taken, 0)
				grants = append(grants, grant{now, taken})
			case 3:
				buckets[i].Drain(now)
			}
		}
		for first := range grants {
			total := 0
			for _, g := range grants[first:] {
				total += g.tokens
				elapsed := g.at.Sub(grants[first].at).Seconds()
				require.LessOrEqual(t, float64(total), math.Floor(depth+rate*elapsed+1e-6), "within %v s", elapsed)
			}
		}
	})
}

// Guards against tokens that come back more often than they were taken, and against a clock that goes backwards.
func TestTokenBucketIsBounded(t *testing.T) {
	var b allotment.TokenBucket
	now := time.Unix(100, 0)
	require.Zero(t, b.Take(now, 1), "the zero value gives no tokens")
	b.SetLimit(now, 10, 5)
	b.Return(now, 1000)
	require.Equal(t, 5, b.Take(now, 1000))
	require.Zero(t, b.Take(now.Add(-time.Hour), 1))
	require.Equal(t, 1, b.Take(now.Add(100*time.Millisecond), 5))
	b.SetLimit(now.Add(time.Second), 10, 2)
	require.Equal(t, id.Tokens(2), b.Level(now.Add(time.Second)))
}
