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

// Guards against the caller's key reaching an upstream or its logs, in any header, the path or the query, plain or
// percent-encoded, and against headers of one connection being passed on in either direction.
func TestKeyAndHopHeadersStay(t *testing.T) {
	const secret = "s3cret+of/the=school"
	answer := strings.Replace(ok, "\r\n\r\n", "\r\nConnection: X-Hop\r\nX-Hop: a\r\nKeep-Alive: timeout=5\r\nUpgrade: h2c\r\n"+
		"Proxy-Authenticate: a\r\nOutcome: not run\r\nX-End: b\r\n\r\n", 1)
	upstream, heads := recorded(t, answer)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{})
	c := call(t, address, "GET /service/pregled/a?b=c HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+secret+"\r\n"+
		"Authorization: Basic x\r\nX-Copy: a "+secret+" b\r\nReferer: http://a/?k="+url.QueryEscape(secret)+"\r\n"+
		"Cookie: k="+url.PathEscape(secret)+"\r\nProxy-Authorization: "+secret+"\r\nConnection: X-Hop, close\r\nX-Hop: a\r\n"+
		"Te: trailers\r\nUpgrade: h2c\r\nKeep-Alive: a\r\nX-End: b\r\nExpect: 100-continue\r\n\r\n")
	response, _, whole := c.answer(t, http.MethodGet)
	require.True(t, whole)
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
	arrived := e.arrival(t)
	require.True(t, arrived.HasKey)
	require.Equal(t, id.DigestOf([]byte(secret)), arrived.KeyDigest)

	const plain = "0123abcd"
	for _, target := range []string{
		"/" + plain, "/a/" + plain + "/b", "/?k=" + plain, "/?k=%30%3123abcd", "/?bad=%zz&k=%30123abcd", "/a?" + plain,
	} {
		c := call(t, address, "GET /service/pregled"+target+" HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+plain+"\r\n\r\n")
		response, _, _ := c.answer(t, http.MethodGet)
		require.Equal(t, http.StatusUnauthorized, response.StatusCode, target)
	}
	c = call(t, address, "GET /service/pregled/ HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer abcd0123\r\nX-Abcd0123: 1\r\n\r\n")
	_, _, whole = c.answer(t, http.MethodGet)
	require.True(t, whole)
	require.NotContains(t, strings.ToLower(<-heads), "abcd0123")
	require.Empty(t, heads)
}

// Guards against unlimited heads: a caller's is refused before it becomes a request.
func TestHugeHeadIsRefused(t *testing.T) {
	e := &engine{}
	address := e.start(t, gateway.Config{})
	huge := strings.Repeat("a", 2*int(gateway.DefaultMaxHeader))
	for _, text := range []string{"GET /service/pregled/" + huge, "GET /service/pregled/ HTTP/1.1\r\nX: " + huge} {
		c := &caller{}
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		t.Cleanup(func() { conn.Close() })
		c.TCPConn, c.r = conn.(*net.TCPConn), bufio.NewReader(conn)
		go func() { _, _ = io.WriteString(conn, text+"\r\n\r\n") }()
		response, _, _ := c.answer(t, http.MethodGet)
		require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)
	}
	require.Empty(t, e.arrivals)
}
