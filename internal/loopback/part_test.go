package loopback

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against two processes that use the same ports: one of them may have closed a port for a while that the other takes.
// It was seen as "bind: address already in use" in the soak beside other tests.
func TestProcessesUsePortsOfTheirOwn(t *testing.T) {
	own := ownPart()
	seen := map[int64]bool{own.number: true}
	for range 3 {
		other := claimPart()
		if other.number < 0 {
			t.Skip("other test processes have claimed all parts")
		}
		t.Cleanup(func() { require.NoError(t, other.guard.Close()) })
		require.False(t, seen[other.number])
		seen[other.number] = true
		for _, r := range []portRange{listenRange, freeRange} {
			a, b := own.of(r), other.of(r)
			require.True(t, a.end <= b.first || b.end <= a.first)
			require.GreaterOrEqual(t, b.first, r.first)
			require.LessOrEqual(t, b.end, r.end)
		}
	}
}
