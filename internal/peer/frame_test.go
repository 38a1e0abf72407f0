package peer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/internal/peer"
	"bluebellhold/internal/wire"
)

// Guards against a queue that grows without bound, reorders messages, keeps a stale heartbeat or miscounts its drops.
func TestQueueKeepsNewestHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, want []*wire.Envelope
		heartbeat := -1
		for number := range rapid.Uint64Range(0, 2*peer.MaxQueuedMessages).Draw(t, "count") {
			m := loan(number)
			isHeartbeat := rapid.IntRange(0, 9).Draw(t, "kind") == 0
			if isHeartbeat {
				m = &wire.Envelope{Payload: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: number}}}
			}
			sent = append(sent, m)
			switch {
			case isHeartbeat && heartbeat >= 0:
				want[heartbeat] = m
			case len(want) < peer.MaxQueuedMessages:
				if isHeartbeat {
					heartbeat = len(want)
				}
				want = append(want, m)
			}
		}
		left, dropped := peer.PassThroughQueue(sent)
		require.Equal(t, len(want), len(left))
		for i := range want {
			require.Same(t, want[i], left[i])
		}
		require.Equal(t, len(sent)-len(left), dropped)
	})
}
