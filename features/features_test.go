package features_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/features"
)

// Guards against a part that settings cannot switch on, and against unknown names that are ignored.
func TestNamesAreParsed(t *testing.T) {
	all, unknown := features.Parse(features.Names())
	require.Empty(t, unknown)
	require.Equal(t, features.All(), all)
	require.Equal(t, features.Names(), all.Names())
	set, unknown := features.Parse([]string{"even", "fair"})
	require.Equal(t, features.Set{Even: true}, set)
	require.Equal(t, []string{"fair"}, unknown)
	require.Equal(t, features.Set{Even: true, Plan: true}, set.Union(features.Set{Plan: true}))
	require.Empty(t, features.Set{}.Names())
}

// Guards against settings for an earlier version that are refused because they name a part that is always on now.
func TestPartsThatAreAlwaysOnAreAccepted(t *testing.T) {
	set, unknown := features.Parse([]string{"plan", "held"})
	require.Empty(t, unknown)
	require.Equal(t, features.Set{Plan: true}, set)
	require.True(t, features.IsAlwaysOn("held"))
	require.False(t, features.IsAlwaysOn("plan"))
	require.NotContains(t, features.Names(), "held")
}
