package retry_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/retry"
)

// Guards against values that end the process, overflow or are misread as a time.
func TestOnlySecondsAreParsed(t *testing.T) {
	for text, want := range map[string]time.Duration{
		"3": 3 * time.Second, "0.25": 250 * time.Millisecond, "0": 0, "": 0, "-1": 0, "NaN": 0, "Inf": 0, "1e3": 0, "1.2.3": 0, ".": 0,
		"Fri, 31 Dec 1999 23:59:59 GMT": 0, "3153600000": 1e9 * time.Second, strings.Repeat("9", 400): 1e9 * time.Second,
	} {
		require.Equal(t, want, retry.ParseAfter(text), text)
	}
}
