package store_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/store"
)

// Guards against a transaction that applies some of its writes although a condition fails.
func TestMemoryTransactIsAtomic(t *testing.T) {
	ctx := context.Background()
	var memory store.Memory
	first, err := memory.Transact(ctx, store.Transaction{
		Conditions: []store.Condition{{Name: "a"}},
		Writes:     []store.Write{{Name: "a", Value: []byte("1")}},
	})
	require.NoError(t, err)
	require.True(t, first.Committed)

	second, err := memory.Transact(ctx, store.Transaction{
		Conditions: []store.Condition{{Name: "b"}, {Name: "a"}},
		Writes:     []store.Write{{Name: "b", Value: []byte("2")}, {Name: "a", Value: []byte("3")}},
	})
	require.NoError(t, err)
	require.False(t, second.Committed)
	require.Equal(t, uint64(0), second.Rows[0].Version)
	require.Equal(t, first.Rows[0].Version, second.Rows[1].Version)

	rows, err := memory.Read(ctx, []string{"a", "b"})
	require.NoError(t, err)
	require.Equal(t, []byte("1"), rows[0].Value)
	require.Equal(t, uint64(0), rows[1].Version)
}

// Guards against a condition on a deleted row that holds for the row inserted again under the same name (ABA).
func TestMemoryVersionsIncreaseAcrossDelete(t *testing.T) {
	ctx := context.Background()
	var memory store.Memory
	put := store.Transaction{Writes: []store.Write{{Name: "a", Value: []byte("1")}}}
	first, err := memory.Transact(ctx, put)
	require.NoError(t, err)
	_, err = memory.Transact(ctx, store.Transaction{Writes: []store.Write{{Name: "a", Delete: true}}})
	require.NoError(t, err)
	second, err := memory.Transact(ctx, put)
	require.NoError(t, err)
	require.Greater(t, second.Rows[0].Version, first.Rows[0].Version)
}
