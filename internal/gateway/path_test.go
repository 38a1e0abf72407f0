package gateway_test

import (
	"bufio"
	"net/http"
	"net/http/httptest"
	"net/url"
	"path"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

// FuzzPath guards against a path that is checked as one route and runs as another: every way in which an upstream may
// interpret the target must yield the path that the reducer received, and the target must be forwarded unchanged.
func FuzzPath(f *testing.F) {
	for _, seed := range []string{
		"", "/", "/a", "/a/", "/a//b", "//a", "/a/./b", "/a/../b", "/a/%2e%2e/b", "/a/..%2Fb", "/a%2Fb", "/%61", "/a%20b", "/a;b",
		"/..;/a", "/a%5C..%5Cb", "/%C0%AF", "/%00", "/%25", "/%252e", "/a%0Ab", "/ü", "/%C3%BC", "/a?b=/../c", "/a#b", "/\"a\"", "/%7Ea",
		"/%zz", "/a%", "/{a}", "/a?", "/a??b", "/%3Fa", "/a:b@c", "/" + strings.Repeat("a/", 4000),
	} {
		f.Add(seed)
	}
	var target string
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { target = r.RequestURI }))
	f.Cleanup(upstream.Close)
	e := &engine{upstream: upstream.Listener.Addr().String()}
	e.start(f, gateway.Config{})
	g := gateway.New(gateway.Config{Engine: e})
	f.Cleanup(g.Close)
	f.Fuzz(func(t *testing.T, suffix string) {
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader("GET /service/pregled" + suffix + " HTTP/1.1\r\nHost: a\r\n\r\n")))
		if err != nil {
			return
		}
		recorder := httptest.NewRecorder()
		g.ServeHTTP(recorder, request)
		if recorder.Code != http.StatusOK {
			require.Empty(t, e.arrivals)
			return
		}
		<-e.attemptEnds
		arrival := <-e.arrivals
		sent, query, _ := strings.Cut(target, "?")
		require.Equal(t, request.URL.RawQuery, query)
		requireUnambiguousPath(t, sent, arrival)
		// Only characters that are invalid in a request target are escaped.
		original, _, _ := strings.Cut(suffix, "?")
		if strings.HasPrefix(original, "/") && request.URL.EscapedPath() == "/service/pregled"+original {
			require.Equal(t, original, sent)
		}
	})
}

// requireUnambiguousPath compares the path that was checked with the ways in which upstreams may interpret the sent path.
func requireUnambiguousPath(t *testing.T, sent string, arrival steering.RequestArrived) {
	decoded, err := url.PathUnescape(sent)
	require.NoError(t, err)
	require.Equal(t, arrival.Path, decoded)
	interpretations := map[string]string{
		"cleaned":            path.Clean(decoded),
		"backslashes":        path.Clean(strings.ReplaceAll(decoded, `\`, "/")),
		"without parameters": path.Clean(stripPathParameters(decoded)),
		"cut at a null":      path.Clean(strings.SplitN(decoded, "\x00", 2)[0]),
	}
	for name, interpreted := range interpretations {
		require.Equal(t, strings.TrimSuffix(arrival.Path, "/"), strings.TrimSuffix(interpreted, "/"), name)
	}
	require.Equal(t, strings.Count(decoded, "/"), strings.Count(sent, "/"), "segments")
}

func stripPathParameters(decoded string) string {
	segments := strings.Split(decoded, "/")
	for i, segment := range segments {
		segments[i], _, _ = strings.Cut(segment, ";")
	}
	return strings.Join(segments, "/")
}

// Guards against refusing valid paths and forwarding ambiguous ones.
func TestPaths(t *testing.T) {
	upstream, heads := recordingUpstream(t, okResponse)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{})
	for _, target := range []string{"/", "/a", "/a/", "/a%20b", "/a:b@c,d", "/%C3%BC", "/%7Ea", "/100%25", "/a?b=%2F..", "/a?", "/.a/..b/c..."} {
		response, _, _ := sendRaw(t, address, getRequest(target)).readResponse(t, http.MethodGet)
		require.Equal(t, http.StatusOK, response.StatusCode, target)
		require.Contains(t, <-heads, "GET "+target+" HTTP/1.1\r\n")
	}
	for _, target := range []string{
		"//", "//a", "/a//", "/a//b", "/.", "/a/..", "/a/../b", "/%2e%2E/", "/a%2Fb", "/a%2f..%2fb", "/%61dmin", "/a%5Cb", `/a\b`, "/a;b",
		"/..;/a", "/%C0%AF", "/%00", "/a%0Ab", "/a%7F",
	} {
		response, _, _ := sendRaw(t, address, getRequest(target)).readResponse(t, http.MethodGet)
		require.Equal(t, http.StatusBadRequest, response.StatusCode, target)
	}
	response, _, _ := sendRaw(t, address, strings.Replace(getRequest("/a"), "GET", "CONNECT", 1)).readResponse(t, http.MethodGet)
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	response, _, _ = sendRaw(t, address, getRequest("")).readResponse(t, http.MethodGet)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Contains(t, <-heads, "GET / HTTP/1.1\r\n")
	require.Empty(t, heads)
}
