package daemon

import (
	"os"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a second SIGTERM that cuts off the requests which a planned stop waits for.
func TestRepeatedSIGTERMDoesNotEndAStop(t *testing.T) {
	for _, c := range []struct {
		signals           []os.Signal
		shutdowns, aborts int
	}{
		{[]os.Signal{syscall.SIGTERM}, 1, 0},
		{[]os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, 1, 0},
		{[]os.Signal{syscall.SIGINT, syscall.SIGTERM}, 1, 0},
		{[]os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}, 1, 1},
		{[]os.Signal{syscall.SIGINT, syscall.SIGINT}, 1, 1},
	} {
		signals := make(chan os.Signal, len(c.signals))
		for _, s := range c.signals {
			signals <- s
		}
		close(signals)
		shutdowns, aborts := 0, 0
		handleSignals(signals, func() { shutdowns++ }, func() { aborts++ })
		require.Equal(t, c.shutdowns, shutdowns, c.signals)
		require.Equal(t, c.aborts, aborts, c.signals)
	}
}
