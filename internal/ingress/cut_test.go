package ingress_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/entry"
	"bluebellhold/internal/ingress"
	"bluebellhold/platform"
)

const signedHead = "X-Bluebellhold-Attempt-Id: a1\r\nX-Bluebellhold-Response-Seal: seal\r\n"

// wholeAnswers are answers of upstreams by their framing, and the bodies that callers get.
var wholeAnswers = []struct {
	name, method, answer, body string
	status                     int
	// isDelimitedByEnd is set if the end of the connection ends the body.
	isDelimitedByEnd bool
}{
	{"length", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 12\r\n\r\nwhole answer", "whole answer", 200, false},
	{"length first", "GET", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n" + signedHead + "\r\nwhole answer", "whole answer", 200, false},
	{"chunked", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n", "whole answer", 200, false},
	{"trailer", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\nc\r\nwhole answer\r\n0\r\nX-T: t\r\n\r\n", "whole answer", 200, false},
	{"interim", "GET", "HTTP/1.1 103 Early Hints\r\n" + signedHead + "\r\nHTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 12\r\n\r\nwhole answer", "whole answer", 200, false},
	{"continue", "POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 12\r\n\r\nwhole answer", "whole answer", 200, false},
	{"empty", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 0\r\n\r\n", "", 200, false},
	{"head", "HEAD", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 12\r\n\r\n", "", 200, false},
	{"no content", "GET", "HTTP/1.1 204 No Content\r\n" + signedHead + "\r\n", "", 204, false},
	{"not modified", "GET", "HTTP/1.1 304 Not Modified\r\n" + signedHead + "Content-Length: 12\r\n\r\n", "", 304, false},
	{"both lengths", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n", "whole answer", 200, false},
	{"same length twice", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 12\r\nContent-Length: 12\r\n\r\nwhole answer", "whole answer", 200, false},
	{"close", "GET", "HTTP/1.1 200 OK\r\n" + signedHead + "Connection: close\r\n\r\nwhole answer", "whole answer", 200, true},
	{"http/1.0", "GET", "HTTP/1.0 200 OK\r\n" + signedHead + "\r\nwhole answer", "whole answer", 200, true},
}

// readAnswer lets an upstream send bytes and then end or reset the connection, and reads them as an answer.
func readAnswer(t *testing.T, method, sent string, isReset bool, carried int) (entry.AttemptOutcome, int, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	conn, err := net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
	upstream, err := listener.Accept()
	require.NoError(t, err)
	_, err = io.WriteString(upstream, sent)
	require.NoError(t, err)
	if isReset {
		require.NoError(t, upstream.(*net.TCPConn).SetLinger(0))
	}
	require.NoError(t, upstream.Close())
	r, err := http.NewRequest(method, "http://example/look/1", nil)
	require.NoError(t, err)
	r.Header.Set("X-Bluebellhold-Attempt-Id", "a1")
	outcome, status, body := ingress.ReadAnswer(conn.(*net.TCPConn), platform.HeaderCodec{}, r, carried)
	return outcome, status, string(body)
}

// Guards against an answer of an upstream that is cut at any byte, by the end or a reset of its connection, and counts as a
// success or as a refusal. The end of a connection may delimit a body without a length; a reset never does.
func TestCutAnswerIsBroken(t *testing.T) {
	for _, whole := range wholeAnswers {
		for _, isReset := range []bool{false, true} {
			for _, carried := range []int{0, 3} {
				t.Run(fmt.Sprintf("%s/reset=%v/carried=%d", whole.name, isReset, carried), func(t *testing.T) {
					headLength := strings.Index(whole.answer, "\r\n\r\n") + 4
					for cut := range len(whole.answer) + 1 {
						outcome, status, body := readAnswer(t, whole.method, whole.answer[:cut], isReset, carried)
						switch outcome.(type) {
						case entry.Broken:
							require.True(t, isReset || cut < len(whole.answer), "the whole answer is refused")
							continue
						case entry.Answered:
						default:
							require.Fail(t, "unexpected", "%T", outcome)
						}
						require.Equal(t, whole.status, status)
						if whole.isDelimitedByEnd {
							require.False(t, isReset, "cut at %d of %d", cut, len(whole.answer))
							require.GreaterOrEqual(t, cut, headLength)
							continue
						}
						require.Equal(t, whole.body, body, "cut at %d of %d", cut, len(whole.answer))
						require.Equal(t, len(whole.answer), cut)
					}
				})
			}
		}
	}
}

// Guards against a refusal that is cut and still believed: what is missing of its head may say that it belongs to another
// request.
func TestCutRefusalIsBroken(t *testing.T) {
	const refusal = "HTTP/1.1 503 Service Unavailable\r\nX-Bluebellhold-Not-Executed: 1\r\nX-Bluebellhold-Attempt-Id: a1\r\nContent-Length: 4\r\n\r\nfull"
	for _, isReset := range []bool{false, true} {
		for cut := range len(refusal) {
			outcome, _, _ := readAnswer(t, "POST", refusal[:cut], isReset, 0)
			require.IsType(t, entry.Broken{}, outcome, "cut at %d", cut)
		}
	}
	outcome, _, _ := readAnswer(t, "POST", refusal, false, 3)
	require.IsType(t, entry.Shed{}, outcome)
}

// Guards against lengths that contradict each other and are resolved in favour of the shorter body.
func TestConflictingLengthsAreBroken(t *testing.T) {
	for _, lines := range []string{
		"Content-Length: 5\r\nContent-Length: 12\r\n", "Content-Length: 5, 12\r\n", "Content-Length: -1\r\n", "Content-Length: +5\r\n",
		"Content-Length: 5x\r\n", "Content-Length: 99999999999999999999\r\n", "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n",
		"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
	} {
		outcome, _, _ := readAnswer(t, "GET", "HTTP/1.1 200 OK\r\n"+signedHead+lines+"\r\nwhole answer", false, 0)
		require.IsType(t, entry.Broken{}, outcome, lines)
	}
}

// invalidHeads begin bytes that are no answer, since their status or their version is none.
var invalidHeads = []string{
	"HTTP/1.1 000 None", "HTTP/1.1 001 None", "HTTP/1.1 099 None", "HTTP/1.1 +20 None", "HTTP/1.1 600 None", "HTTP/1.1 777 None",
	"HTTP/1.1 999 None", "HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/0.9 200 OK",
	// An interim response has no body, and what follows it does not belong to it.
	"HTTP/1.1 100 Continue\r\nContent-Length: 5", "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked",
}

// Guards against bytes that are no answer and reach the caller as one, that are taken for a refusal, or behind which an answer is
// read: it may be their body.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	const behind = "HTTP/1.1 200 OK\r\n" + signedHead + "Content-Length: 6\r\n\r\nbehind"
	for _, head := range invalidHeads {
		for _, fields := range []string{
			"", "Content-Length: 0\r\n", fmt.Sprintf("Content-Length: %d\r\n", len(behind)), "X-Bluebellhold-Not-Executed: 1\r\n",
		} {
			if strings.Contains(head, "\r\n") && fields != "" {
				continue
			}
			for _, carried := range []int{0, 3} {
				outcome, _, body := readAnswer(t, "GET", head+"\r\n"+signedHead+fields+"\r\n"+behind, false, carried)
				require.IsType(t, entry.Broken{}, outcome, "%q with %q: %q", head, fields, body)
			}
		}
	}
	outcome, status, _ := readAnswer(t, "GET", "HTTP/1.1 599 Odd\r\n"+signedHead+"Content-Length: 0\r\n\r\n", false, 0)
	require.IsType(t, entry.Answered{}, outcome, "a status that nobody has registered is one")
	require.Equal(t, 599, status)
}
