package gateway_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/gateway"
)

// Guards against forwarding the caller's secret to an upstream or its logs, in any header, the path or the query,
// verbatim or percent-encoded, and against forwarding hop-by-hop headers in either direction.
func TestSecretAndHopByHopHeadersAreNotForwarded(t *testing.T) {
	const secret = "s3cret+of/the=school"
	upstreamResponse := strings.Replace(okResponse, "\r\n\r\n", "\r\nConnection: X-Hop\r\nX-Hop: a\r\nKeep-Alive: timeout=5\r\nUpgrade: h2c\r\n"+
		"Proxy-Authenticate: a\r\nOutcome: not run\r\nX-End: b\r\n\r\n", 1)
	upstream, heads := recordingUpstream(t, upstreamResponse)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{})
	c := sendRaw(t, address, "GET /service/pregled/a?b=c HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+secret+"\r\n"+
		"Authorization: Basic x\r\nX-Copy: a "+secret+" b\r\nReferer: http://a/?k="+url.QueryEscape(secret)+"\r\n"+
		"Cookie: k="+url.PathEscape(secret)+"\r\nProxy-Authorization: "+secret+"\r\nConnection: X-Hop, close\r\nX-Hop: a\r\n"+
		"Te: trailers\r\nUpgrade: h2c\r\nKeep-Alive: a\r\nX-End: b\r\nExpect: 100-continue\r\n\r\n")
	response, _, complete := c.readResponse(t, http.MethodGet)
	require.True(t, complete)
	require.Equal(t, http.StatusOK, response.StatusCode)
	head := <-heads
	require.Contains(t, head, "GET /a?b=c HTTP/1.1\r\n")
	require.Contains(t, head, "X-End: b\r\n")
	for _, absent := range []string{"s3cret", "Authorization", "Hop", "Te:", "Upgrade", "Keep-Alive", "Connection", "Expect"} {
		require.NotContains(t, head, absent)
	}
	require.Equal(t, "b", response.Header.Get("X-End"))
	for _, absent := range []string{"X-Hop", "Keep-Alive", "Upgrade", "Proxy-Authenticate", "Outcome"} {
		require.Empty(t, response.Header.Get(absent), absent)
	}
	arrival := e.nextArrival(t)
	require.True(t, arrival.HasKey)
	require.Equal(t, id.DigestOf([]byte(secret)), arrival.KeyDigest)

	const hexSecret = "0123abcd"
	for _, target := range []string{
		"/" + hexSecret, "/a/" + hexSecret + "/b", "/?k=" + hexSecret, "/?k=%30%3123abcd", "/?bad=%zz&k=%30123abcd",
		"/a?" + hexSecret,
	} {
		c := sendRaw(t, address, "GET /service/pregled"+target+" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+hexSecret+"\r\n\r\n")
		response, _, _ := c.readResponse(t, http.MethodGet)
		require.Equal(t, http.StatusUnauthorized, response.StatusCode, target)
	}
	c = sendRaw(t, address, "GET /service/pregled/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer abcd0123\r\nX-Abcd0123: 1\r\n\r\n")
	_, _, complete = c.readResponse(t, http.MethodGet)
	require.True(t, complete)
	require.NotContains(t, strings.ToLower(<-heads), "abcd0123")
	require.Empty(t, heads)
}

// Guards against unlimited request heads: an oversized one must be rejected before it reaches the reducer.
func TestOversizedHeadIsRefused(t *testing.T) {
	e := &engine{}
	address := e.start(t, gateway.Config{})
	oversized := strings.Repeat("a", 2*int(gateway.MaxResponseHeader))
	for _, text := range []string{"GET /service/pregled/" + oversized, "GET /service/pregled/ HTTP/1.1\r\nX: " + oversized} {
		c := &callerConn{}
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		c.TCPConn, c.r = conn.(*net.TCPConn), bufio.NewReader(conn)
		go func() { _, _ = io.WriteString(conn, text+"\r\n\r\n") }()
		response, _, _ := c.readResponse(t, http.MethodGet)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	}
	require.Empty(t, e.arrivals)
}
