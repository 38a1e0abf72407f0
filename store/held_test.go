package store_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/loopback"
	"bluebellhold/store"
)

// Guards against a transaction that the platform receives and performs seconds after it was given up.
func TestTransactionThatWasGivenUpIsNotDeliveredLater(t *testing.T) {
	holder, err := loopback.Hold()
	require.NoError(t, err)
	t.Cleanup(func() { holder.Release() })
	client := store.NewClient(store.ClientConfig{Address: holder.Address(), Timeout: 300 * time.Millisecond})
	_, err = client.Transact(context.Background(), store.Transaction{
		Writes: []store.Write{{Name: "lease/osrednja-1", Value: bytes.Repeat([]byte("x"), 300_000)}},
	})
	require.ErrorAs(t, err, new(*store.UnavailableError))
	require.NotEmpty(t, holder.Accepted())
	require.Zero(t, holder.Release())
}
