package outputpipe_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/outputpipe"
)

// Guards against a test that fails for a pipe which was closed while it was stalled.
func TestStalledPipeCanBeClosed(t *testing.T) {
	var target bytes.Buffer
	p, err := outputpipe.New(&target)
	require.NoError(t, err)
	require.NoError(t, p.Stall())
	require.NoError(t, p.CloseReader())
	require.NoError(t, p.Release())
}
