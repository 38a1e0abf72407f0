package ingress_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"
)

// speaker is an upstream that says something of itself in its responses.
type speaker struct {
	requests atomic.Int64
	// respond returns the response to a request, by its number.
	respond func(r *http.Request, n int64) string
}

// newSpeakerHarness starts an instance with the upstream u0, which says nothing, and u1, the speaker.
func newSpeakerHarness(t *testing.T, respond func(r *http.Request, n int64) string) (*harness, *speaker) {
	u := &speaker{respond: respond}
	return newHarness(t, serveWith(func(r *http.Request) string { return responseTo(r, "ok") }),
		serveWith(func(r *http.Request) string { return u.respond(r, u.requests.Add(1)) })), u
}

// withHeader adds lines of the header to a response.
func withHeader(response, lines string) string {
	const statusLine = "HTTP/1.1 200 OK\r\n"
	return statusLine + lines + response[len(statusLine):]
}

// sendUntil sends requests for many objects until the speaker has got one, and fails the test if it gets none.
func (h *harness) sendUntil(u *speaker) {
	h.Helper()
	for i := range 200 {
		h.get(i)
		if u.requests.Load() > 0 {
			return
		}
	}
	require.Fail(h, "the upstream got no request")
}

// get sends a request for an object and requires that it succeeds.
func (h *harness) get(object int) {
	h.Helper()
	r := h.request("GET", fmt.Sprint("/look/", object), "")
	r.Header.Set("Cookie", fmt.Sprint("X-Bluebellhold-Affinity-Key=", object))
	response, err := h.client.Do(r)
	require.NoError(h, err)
	defer response.Body.Close()
	require.Equal(h, http.StatusOK, response.StatusCode)
}
