package bluebellhold_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold"
	"bluebellhold/id"
	"bluebellhold/internal/steering"
	"bluebellhold/store"
)

// Guards against one odd row that hides the list of all releases from the operators.
func TestOddReleaseRowLeavesTheOthers(t *testing.T) {
	var memory store.Memory
	self := store.Member{
		Instance: "osrednja-1", Region: "osrednja", DataCentre: "osrednja-1", Caller: freeAddress(t), Peer: freeAddress(t),
	}
	memory.SetMembers([]store.Member{self})
	operatorAddress := freeAddress(t)
	instance, err := bluebellhold.New(bluebellhold.Config{
		Self: self, Operator: operatorAddress, Secret: []byte(peerSecret), Token: []byte(operatorToken),
		Table: &memory, Objects: &memory, Directory: &memory,
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- instance.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	applyNote(t, operatorAddress, initialNote("10.0.0.1:80"))
	_, err = memory.Transact(ctx, store.Transaction{Writes: []store.Write{
		{Name: steering.ReleaseRow(id.Epoch(0)), Value: []byte(strings.Repeat("[", 100_000))},
	}})
	require.NoError(t, err)
	request, err := http.NewRequest(http.MethodGet, "http://"+operatorAddress+"/history", nil)
	require.NoError(t, err)
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, response.StatusCode, string(body))
	require.Contains(t, string(body), `"first"`)
}
