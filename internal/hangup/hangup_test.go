package hangup_test

import (
	"os"
	"os/signal"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"

	_ "bluebellhold/internal/hangup"
)

// wasIgnored is the state before the first test.
var wasIgnored = signal.Ignored(syscall.SIGHUP)

// Guards against SIGHUP that ends a process before its Go code has started, and against one that a process which asks for it
// does not get.
func TestHangupIsIgnoredFromTheStart(t *testing.T) {
	require.True(t, wasIgnored)
	received := make(chan os.Signal, 1)
	signal.Notify(received, syscall.SIGHUP)
	require.NoError(t, syscall.Kill(os.Getpid(), syscall.SIGHUP))
	require.Equal(t, syscall.SIGHUP, <-received)
}
