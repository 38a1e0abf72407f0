package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
)

// wholeAnswers are answers of upstreams by their framing, and the bodies that callers get.
var wholeAnswers = []struct {
	name, answer, body string
	status             int
}{
	{"length", "HTTP/1.1 200 OK\r\nX-A: b\r\nContent-Length: 12\r\n\r\nwhole answer", "whole answer", 200},
	{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n", "whole answer", 200},
	{"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\nc\r\nwhole answer\r\n0\r\nX-T: t\r\n\r\n", "whole answer", 200},
	{"interim", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\nwhole answer", "whole answer", 200},
	{"empty", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "", 200},
	{"no content", "HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n", "", 204},
	{"not modified", "HTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n", "", 304},
	{"both lengths", "HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n", "whole answer", 200},
	{"close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole answer", "whole answer", 200},
	{"http/1.0", "HTTP/1.0 200 OK\r\n\r\nwhole answer", "whole answer", 200},
}

// Guards against an answer of an upstream that is cut at any byte, by the end or a reset of its connection, and reaches the
// caller as a success. The end of a connection may delimit a body without a length; a reset never does.
func TestCutAnswerIsNeverASuccess(t *testing.T) {
	e := &engine{attemptTimeout: 5 * time.Second}
	e.upstream = serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			request, _ := readRequest(r)
			if request == nil {
				return
			}
			if request.URL.Path == "/prime" {
				_, _ = io.WriteString(c, okResponse)
				continue
			}
			parts := strings.Split(strings.TrimPrefix(request.URL.Path, "/"), "/")
			answer, _ := strconv.Atoi(parts[0])
			cut, _ := strconv.Atoi(parts[1])
			_, _ = io.WriteString(c, wholeAnswers[answer].answer[:cut])
			if parts[2] == "reset" {
				// The bytes arrive before the reset.
				time.Sleep(time.Millisecond)
				resetConn(c)
			}
			return
		}
	})
	address := e.start(t, gateway.Config{})
	for n, whole := range wholeAnswers {
		for _, end := range []string{"end", "reset"} {
			for _, isKept := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/kept=%v", whole.name, end, isKept), func(t *testing.T) {
					isDelimitedByEnd := whole.name == "close" || whole.name == "http/1.0"
					headLength := strings.Index(whole.answer, "\r\n\r\n") + 4
					for cut := range len(whole.answer) + 1 {
						if isKept {
							_, _, complete := sendRaw(t, address, getRequest("/prime")).readResponse(t, http.MethodGet)
							require.True(t, complete)
							require.IsType(t, steering.Answered{}, e.nextOutcome(t))
						}
						c := sendRaw(t, address, getRequest(fmt.Sprintf("/%d/%d/%s", n, cut, end)))
						response, body, complete := c.readResponse(t, http.MethodGet)
						c.Close()
						outcome := e.nextOutcome(t)
						if !complete || response.StatusCode >= http.StatusInternalServerError {
							require.IsType(t, steering.Broken{}, outcome)
							require.True(t, cut < len(whole.answer) || end == "reset", "the whole answer is refused")
							continue
						}
						require.IsType(t, steering.Answered{}, outcome)
						require.Equal(t, whole.status, response.StatusCode)
						if isDelimitedByEnd {
							require.Equal(t, "end", end, "cut at %d of %d", cut, len(whole.answer))
							require.GreaterOrEqual(t, cut, headLength)
							continue
						}
						require.Equal(t, whole.body, string(body), "cut at %d of %d", cut, len(whole.answer))
						require.Equal(t, len(whole.answer), cut)
					}
				})
			}
		}
	}
}

// Guards against a reset that reaches the writer of a long request body and then looks like the end of an answer without a
// length.
func TestResetDuringALongRequestIsNeverASuccess(t *testing.T) {
	const rounds = 300
	e := &engine{attemptTimeout: 5 * time.Second, upstream: serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
		time.Sleep(time.Millisecond)
		// The rest of the body is unread.
		resetConn(c)
	})}
	address := e.start(t, gateway.Config{})
	body := strings.Repeat("b", 4<<20)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range rounds {
		request, err := http.NewRequest(http.MethodPost, "http://"+address+"/service/pregled/a", strings.NewReader(body))
		require.NoError(t, err)
		if response, err := client.Do(request); err == nil {
			text, err := io.ReadAll(response.Body)
			response.Body.Close()
			require.False(t, err == nil && response.StatusCode == http.StatusOK, "got %q", text)
		}
		require.NotEqual(t, "steering.Answered", fmt.Sprintf("%T", e.nextOutcome(t)))
	}
}

// invalidHeads begin bytes that are no answer, since their status or their version is none.
var invalidHeads = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 001 None", "HTTP/1.1 099 None", "HTTP/1.1 +20 None", "HTTP/1.1 600 None", "HTTP/1.1 777 None",
	"HTTP/1.1 999 None", "HTTP/2.0 200 OK",
	// An interim response has no body, and what follows it does not belong to it.
	"HTTP/1.1 103 Early Hints\r\nContent-Length: 5",
}

// invalidFields follow them.
var invalidFields = []string{"", "Content-Length: 0\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(okResponse))}

// Guards against bytes that are no answer and reach the caller as one, and against a connection that is used again behind them.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	var reused atomic.Int32
	e := &engine{attemptTimeout: 5 * time.Second}
	e.upstream = serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for isInvalid := false; ; {
			request, _ := readRequest(r)
			if request == nil {
				return
			}
			if isInvalid {
				reused.Add(1)
			}
			var head, fields int
			if _, err := fmt.Sscanf(request.URL.Path, "/%d/%d", &head, &fields); err != nil {
				_, _ = io.WriteString(c, okResponse)
				continue
			}
			_, _ = io.WriteString(c, invalidHeads[head]+"\r\n"+invalidFields[fields]+"\r\n"+okResponse)
			isInvalid = true
		}
	})
	address := e.start(t, gateway.Config{})
	for n, head := range invalidHeads {
		for m, fields := range invalidFields {
			for _, claimed := range []bool{false, true} {
				if strings.Contains(head, "\r\n") && fields != "" {
					continue
				}
				t.Run(fmt.Sprintf("%s/%s/claimed=%v", head, strings.TrimSpace(fields), claimed), func(t *testing.T) {
					e.claimed = claimed
					response, body, complete := sendRaw(t, address, getRequest(fmt.Sprintf("/%d/%d", n, m))).readResponse(t, http.MethodGet)
					require.True(t, complete)
					require.Equal(t, http.StatusBadGateway, response.StatusCode, "%s", body)
					require.IsType(t, steering.Broken{}, e.nextOutcome(t))
					e.claimed = false
					_, _, complete = sendRaw(t, address, getRequest("/prime")).readResponse(t, http.MethodGet)
					require.True(t, complete)
					require.IsType(t, steering.Answered{}, e.nextOutcome(t))
					require.Zero(t, reused.Load(), "the connection is used again")
				})
			}
		}
	}
}
