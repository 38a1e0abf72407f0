package daemon

import (
	"math"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a process that accepts more connections than the platform lets it open, or than its own limit.
func TestDescriptorsAreThoseOfTheSettingsOrTheCommandLine(t *testing.T) {
	var limit syscall.Rlimit
	require.NoError(t, syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit))
	own := int(min(limit.Cur, maxDescriptors))
	require.Equal(t, 200, descriptorLimit(200, 300))
	require.Equal(t, 300, descriptorLimit(0, 300))
	require.Equal(t, own, descriptorLimit(0, 0))
	require.Equal(t, own, descriptorLimit(math.MaxInt64, 0))
}
