package ingress

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a caller that reads its response slowly and occupies memory for long.
func TestTimeToWriteAResponseIsBounded(t *testing.T) {
	require.Equal(t, stalledWriteTimeout, responseWriteTimeout(0))
	require.Equal(t, stalledWriteTimeout+2*time.Second, responseWriteTimeout(64<<10))
	require.Equal(t, writeTimeout, responseWriteTimeout(8<<20))
}
