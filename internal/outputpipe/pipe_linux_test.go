package outputpipe_test

import (
	"bytes"
	"io"
	"os"
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

// Guards against a stall while the process ends: it raced with the close of the pipe, or held up its output for ever.
func TestStallDuringTheReleaseEnds(t *testing.T) {
	for range 200 {
		p, err := outputpipe.New(io.Discard)
		require.NoError(t, err)
		released := make(chan error, 1)
		go func() { released <- p.Release() }()
		if err := p.Stall(); err != nil {
			require.ErrorIs(t, err, os.ErrClosed)
		}
		require.NoError(t, <-released)
	}
}
