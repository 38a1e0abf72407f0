package peer_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"bluebellhold/internal/peer"
	"bluebellhold/internal/wire"
)

// Guards against a queue that is unbounded, reorders messages, keeps a superseded heartbeat or miscounts drops.
func TestQueueKeepsNewestHeartbeat(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, want []*wire.Envelope
		heartbeatIndex := -1
		for sequence := range rapid.Uint64Range(0, 2*peer.MaxQueuedMessages).Draw(t, "count") {
			m := loanReturn(sequence)
			isHeartbeat := rapid.IntRange(0, 9).Draw(t, "kind") == 0
			if isHeartbeat {
				m = &wire.Envelope{Payload: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{Sequence: sequence}}}
			}
			sent = append(sent, m)
			switch {
			case isHeartbeat && heartbeatIndex >= 0:
				want[heartbeatIndex] = m
			case len(want) < peer.MaxQueuedMessages:
				if isHeartbeat {
					heartbeatIndex = len(want)
				}
				want = append(want, m)
			}
		}
		remaining, dropped := peer.PassThroughQueue(sent)
		require.Equal(t, len(want), len(remaining))
		for i := range want {
			require.Same(t, want[i], remaining[i])
		}
		require.Equal(t, len(sent)-len(remaining), dropped)
	})
}
