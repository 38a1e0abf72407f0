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

// Guards against a caller holding a dispatch while it sends a small body slowly or not at all, with a declared length
// and with chunks.
func TestSmallBodyIsReadBeforeDispatch(t *testing.T) {
	t.Parallel()
	upstream, heads := recorded(t, ok)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{StallTimeout: 300 * time.Millisecond})
	for _, parts := range [][2]string{
		{"Content-Length: 4\r\n\r\nab", "cd"},
		{"Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n"},
	} {
		for _, isWhole := range []bool{true, false} {
			c := call(t, address, "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\n"+parts[0])
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, e.arrivals)
			if isWhole {
				_, _ = io.WriteString(c, parts[1])
			}
			response, _, _ := c.answer(t, http.MethodPost)
			if !isWhole {
				require.Equal(t, http.StatusBadRequest, response.StatusCode)
				continue
			}
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, id.DigestOf([]byte("abcd")), e.arrival(t).ContentDigest)
			require.Contains(t, <-heads, "Content-Length: 4\r\n")
		}
	}
	require.Empty(t, e.arrivals)
}

// Guards against a streamed upload going wrong at its edges: an upstream that works for longer than the stall timeout
// after the last byte is no caller that has left; an attempt that ends while the caller sends nothing ends at once; the
// fault of a caller is not the upstream's.
func TestStreamedUploadEnds(t *testing.T) {
	const head = "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n"
	part := strings.Repeat("x", 100000)
	quick := 300 * time.Millisecond
	tests := map[string]struct {
		text     string
		leave    bool
		upstream func(c *net.TCPConn, r *bufio.Reader)
		config   gateway.Config
		patience time.Duration
		ending   steering.AttemptOutcome
		status   int
	}{
		"slow upstream": {
			text: head + part + part, config: gateway.Config{StallTimeout: quick}, ending: steering.Answered{Size: 2}, status: 200,
			upstream: func(c *net.TCPConn, r *bufio.Reader) {
				readRequest(r)
				time.Sleep(3 * quick)
				_, _ = io.WriteString(c, ok)
			},
		},
		"stalled caller, broken upstream": {
			text: head + part, ending: steering.Broken{}, status: 502,
			upstream: func(_ *net.TCPConn, r *bufio.Reader) { _, _ = r.ReadByte() },
		},
		"stalled caller, early answer": {
			text: head + part, ending: steering.Answered{Size: 2}, status: 200,
			upstream: func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = r.ReadByte()
				_, _ = io.WriteString(c, strings.Replace(ok, "\r\n", "\r\nConnection: close\r\n", 1))
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, c)
			},
		},
		"stalled caller, deadline":  {text: head + part, patience: quick, ending: steering.TimedOut{}, status: 504},
		"stalled caller":            {text: head + part, config: gateway.Config{StallTimeout: quick}, ending: steering.Cancelled{}, status: 400},
		"caller leaves in the body": {text: head + part, leave: true, ending: steering.Cancelled{}},
		"body over the limit": {
			text:   "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n" + part + "\r\n0\r\n\r\n",
			config: gateway.Config{MaxBody: 80000}, ending: steering.Cancelled{}, status: 400,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if test.upstream == nil {
				test.upstream = func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.Copy(io.Discard, r) }
			}
			e := &engine{upstream: serveRaw(t, test.upstream), patience: test.patience}
			if test.config.StallTimeout == 0 {
				test.config.StallTimeout = time.Minute
			}
			c := call(t, e.start(t, test.config), test.text)
			if test.leave {
				e.arrival(t)
				c.Close()
			}
			require.Equal(t, test.ending, e.ending(t))
			if test.leave {
				return
			}
			response, _, whole := c.answer(t, http.MethodPost)
			require.True(t, whole)
			require.Equal(t, test.status, response.StatusCode)
		})
	}
}

// Guards against an upload that never left the instance being lost, and against one that did being sent twice.
func TestUploadIsRepeatedOnlyIfUntouched(t *testing.T) {
	var tries atomic.Int64
	upstream, _ := recorded(t, ok)
	e := &engine{retries: 1}
	e.hook = func(event steering.Event) {
		if _, is := event.(steering.AttemptEnded); is {
			e.upstream = upstream
			tries.Add(1)
		}
	}
	nobody, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	e.upstream = nobody.Addr().String()
	nobody.Close()
	c := call(t, e.start(t, gateway.Config{}), "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\nContent-Length: 70000\r\n\r\n"+
		strings.Repeat("x", 70000))
	response, _, _ := c.answer(t, http.MethodPost)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.EqualValues(t, 2, tries.Load())
}

// Guards against bodies being held in memory or changed: both directions stream with the receiver's pace, and what
// arrives is what was sent.
func TestBodiesStream(t *testing.T) {
	t.Parallel()
	const size, stuck = 8 << 20, 256 << 20
	release := make(chan bool)
	e := &engine{upstream: serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if request.URL.Path == "/stuck" {
			<-release
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		part := make([]byte, 100000)
		for n, err := 0, error(nil); err == nil; {
			// The answer starts before the body has ended.
			if n, err = request.Body.Read(part[:1+rand.N(len(part)-1)]); n > 0 {
				_, _ = fmt.Fprintf(c, "%x\r\n%s\r\n", n, part[:n])
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n")
	})}
	address := e.start(t, gateway.Config{})
	source := rand.NewChaCha8([32]byte{1})
	sent, got := sha256.New(), sha256.New()
	// A body of unknown length is sent in chunks.
	body := io.TeeReader(io.LimitReader(source, size), sent)
	response, err := http.Post("http://"+address+"/service/pregled/", "", struct{ io.Reader }{body})
	require.NoError(t, err)
	defer response.Body.Close()
	n, err := io.Copy(got, response.Body)
	require.NoError(t, err)
	require.EqualValues(t, size, n)
	require.Equal(t, sent.Sum(nil), got.Sum(nil))

	c := call(t, address, fmt.Sprintf("POST /service/pregled/stuck HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", stuck))
	n = 0
	for part := make([]byte, 1<<20); err == nil && n < stuck; n += int64(len(part)) {
		require.NoError(t, c.SetWriteDeadline(time.Now().Add(hang/20)))
		_, err = c.Write(part)
	}
	close(release)
	require.Less(t, n, int64(stuck), "the body was taken although the upstream reads nothing")
}

// Guards against bodies over the limits reaching an upstream, and against a caller that waits for the word to go on.
func TestBodyLimitsAndContinue(t *testing.T) {
	t.Parallel()
	upstream, heads := recorded(t, ok)
	e := &engine{upstream: upstream}
	address := e.start(t, gateway.Config{MaxBody: 1000})
	kept := &engine{upstream: upstream, kept: true}
	keptAddress := kept.start(t, gateway.Config{})
	const post = "POST /service/pregled/ HTTP/1.1\r\nHost: a\r\n"
	huge := strings.Repeat("x", 1<<20+1)
	for i, try := range []struct{ address, text string }{
		{address, post + "Content-Length: 1001\r\n\r\n"},
		{keptAddress, post + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(huge), huge)},
		{keptAddress, post + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(huge), huge)},
	} {
		c := call(t, try.address, try.text)
		response, _, _ := c.answer(t, http.MethodPost)
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		if i == 0 {
			_, err := c.r.ReadByte()
			require.ErrorIs(t, err, io.EOF, "the connection waits for the rest of the body")
		}
	}
	require.Empty(t, heads)
	for _, try := range []string{address, keptAddress} {
		c := call(t, try, post+"Expect: 100-continue\r\nContent-Length: 4\r\n\r\n")
		line, err := c.r.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 100 Continue\r\n", line)
		_, _ = c.r.ReadString('\n')
		_, _ = io.WriteString(c, "body")
		response, _, _ := c.answer(t, http.MethodPost)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NotContains(t, <-heads, "Expect")
	}
}
