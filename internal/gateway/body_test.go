package gateway_test

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

// Guards against a caller occupying a slot while it sends a small body slowly or not at all, with Content-Length and
// with chunks.
func TestSmallBodyIsReadBeforeDispatch(t *testing.T) {
	t.Parallel()
	upstream, heads := recordingUpstream(t, okResponse)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{StallTimeout: 300 * time.Millisecond})
	for _, parts := range [][2]string{
		{"Content-Length: 4\r\n\r\nab", "cd"},
		{"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n"},
	} {
		for _, isComplete := range []bool{true, false} {
			c := sendRaw(t, address, "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\n"+parts[0])
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, e.arrivals)
			if isComplete {
				_, _ = io.WriteString(c, parts[1])
			}
			response, _, _ := c.readResponse(t, http.MethodPost)
			if !isComplete {
				require.Equal(t, http.StatusBadRequest, response.StatusCode)
				continue
			}
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, id.DigestOf([]byte("abcd")), e.nextArrival(t).ContentDigest)
			require.Contains(t, <-heads, "Content-Length: 4\r\n")
		}
	}
	require.Empty(t, e.arrivals)
}

// Guards against wrong outcomes of a streamed upload: an upstream that needs longer than the stall timeout after the last
// byte must not count as a disconnected caller; an attempt must end immediately even if the caller sends nothing; a
// failure of the caller must not count as one of the upstream.
func TestStreamedUploadEndings(t *testing.T) {
	const head = "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
	halfBody := strings.Repeat("x", 100000)
	shortTimeout := 300 * time.Millisecond
	tests := map[string]struct {
		text           string
		disconnect     bool
		upstream       func(c *net.TCPConn, r *bufio.Reader)
		config         gateway.Config
		attemptTimeout time.Duration
		outcome        steering.AttemptOutcome
		status         int
	}{
		"slow upstream": {
			text: head + halfBody + halfBody, config: gateway.Config{StallTimeout: shortTimeout},
			outcome: steering.Answered{Size: 2}, status: 200,
			upstream: func(c *net.TCPConn, r *bufio.Reader) {
				readRequest(r)
				time.Sleep(3 * shortTimeout)
				_, _ = io.WriteString(c, okResponse)
			},
		},
		"stalled caller, broken upstream": {
			text: head + halfBody, outcome: steering.Broken{}, status: 502,
			upstream: func(_ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() },
		},
		"stalled caller, early answer": {
			text: head + halfBody, outcome: steering.Answered{Size: 2}, status: 200,
			upstream: func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = r.ReadByte()
				_, _ = io.WriteString(c, strings.Replace(okResponse, "\r\n", "\r\nConnection: close\r\n", 1))
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			},
		},
		"stalled caller, deadline": {text: head + halfBody, attemptTimeout: shortTimeout, outcome: steering.TimedOut{}, status: 504},
		"stalled caller": {
			text: head + halfBody, config: gateway.Config{StallTimeout: shortTimeout}, outcome: steering.Cancelled{}, status: 400,
		},
		"caller leaves in the body": {text: head + halfBody, disconnect: true, outcome: steering.Cancelled{}},
		"body over the limit": {
			text:   "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + halfBody + "\r\n0\r\n\r\n",
			config: gateway.Config{MaxBody: 80000}, outcome: steering.Cancelled{}, status: 400,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.upstream == nil {
				test.upstream = func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }
			}
			e := &engine{upstream: serveTCP(t, test.upstream), attemptTimeout: test.attemptTimeout}
			if test.config.StallTimeout == 0 {
				test.config.StallTimeout = time.Minute
			}
			c := sendRaw(t, e.start(t, test.config), test.text)
			if test.disconnect {
				e.nextArrival(t)
				c.Close()
			}
			require.Equal(t, test.outcome, e.nextOutcome(t))
			if test.disconnect {
				return
			}
			response, _, complete := c.readResponse(t, http.MethodPost)
			require.True(t, complete)
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}

// Guards against failing an upload of which nothing was read yet, and against sending one twice of which a part was sent.
func TestUploadIsRetriedOnlyIfUnread(t *testing.T) {
	var attempts atomic.Int64
	upstream, _ := recordingUpstream(t, okResponse)
	e := &engine{retries: 1}
	e.onEvent = func(event steering.Event) {
		if _, ok := event.(steering.AttemptEnded); ok {
			e.upstream = upstream
			attempts.Add(1)
		}
	}
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.upstream = closedListener.Addr().String()
	closedListener.Close()
	c := sendRaw(t, e.start(t, gateway.Config{}), "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n"+
		strings.Repeat("x", 70000))
	response, _, _ := c.readResponse(t, http.MethodPost)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 2, attempts.Load())
}

// Guards against buffering or changing large bodies: both directions are streamed with backpressure, and the received
// bytes equal the sent ones.
func TestBodiesAreStreamed(t *testing.T) {
	t.Parallel()
	const size, stalledSize = 8 << 20, 256 << 20
	release := make(chan bool)
	e := &engine{upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if request.URL.Path == "/stuck" {
			<-release
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		buffer := make([]byte, 100000)
		for n, err := 0, error(nil); err == nil; {
			// The response starts before the request body has ended.
			if n, err = request.Body.Read(buffer[:1+rand.N(len(buffer)-1)]); n > 0 {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, buffer[:n])
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})}
	address := e.start(t, gateway.Config{})
	source := rand.NewChaCha8([32]byte{1})
	sentHash, receivedHash := sha256.New(), sha256.New()
	// The client sends a body of unknown length in chunks.
	body := io.TeeReader(io.LimitReader(source, size), sentHash)
	response, err := http.Post("http://"+address+"/service/pregled/", "", struct{ io.Reader }{body})
	require.NoError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(receivedHash, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
	require.Equal(t, sentHash.Sum(nil), receivedHash.Sum(nil))

	c := sendRaw(t, address,
		fmt.Sprintf("POST /service/pregled/stuck HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", stalledSize))
	n = 0
	for chunk := make([]byte, 1<<20); err == nil && n < stalledSize; n += int64(len(chunk)) {
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(testTimeout/20)))
		_, err = c.Write(chunk)
	}
	close(release)
	require.Less(t, n, int64(stalledSize), "the body was taken although the upstream reads nothing")
}

// Guards against forwarding bodies above the limits, and against leaving a caller without 100 Continue.
func TestBodyLimitsAndContinue(t *testing.T) {
	t.Parallel()
	upstream, heads := recordingUpstream(t, okResponse)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{MaxBody: 1000})
	claimedEngine := &engine{upstream: upstream, claimed: true}
	claimedAddress := claimedEngine.start(t, gateway.Config{})
	const post = "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\n"
	oversized := strings.Repeat("x", 1<<20+1)
	for i, test := range []struct{ address, text string }{
		{address, post + "Content-Length: 1001\r\n\r\n"},
		{claimedAddress, post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(oversized), oversized)},
		{claimedAddress, post + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(oversized), oversized)},
	} {
		c := sendRaw(t, test.address, test.text)
		response, _, _ := c.readResponse(t, http.MethodPost)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		if i == 0 {
			_, err := c.r.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection waits for the rest of the body")
		}
	}
	require.Empty(t, heads)
	for _, target := range []string{address, claimedAddress} {
		c := sendRaw(t, target, post+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		line, err := c.r.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
		_, _ = c.r.ReadString('\n')
		_, _ = io.WriteString(c, "body")
		response, _, _ := c.readResponse(t, http.MethodPost)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NotContains(t, <-heads, "Expect")
	}
}
