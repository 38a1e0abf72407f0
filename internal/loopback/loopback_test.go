package loopback_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/loopback"
)

// Guards against an address that is returned twice or cannot be bound.
func TestAddressesAreFreeAndDifferent(t *testing.T) {
	seen := make(map[string]bool)
	for range 50 {
		address, err := loopback.FreeAddress()
		require.NoError(t, err)
		require.False(t, seen[address])
		seen[address] = true
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
	}
}
