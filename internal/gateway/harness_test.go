package gateway_test

import (
	"bufio"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/id"
	"bluebellhold/internal/gateway"
	"bluebellhold/internal/steering"
	"bluebellhold/internal/uplink"
)

// testTimeout limits every wait; it is reached only if the code under test hangs.
const testTimeout = 10 * time.Second

// engine is a fake reducer. It dispatches every request to one upstream and refuses it when an attempt fails.
type engine struct {
	upstream string
	// via is the instance through which the upstream is reached, if any.
	via     uplink.Helper
	claimed bool
	metered bool
	// dispatchTimeout and attemptTimeout are the times from a dispatch to its DispatchBy and its Deadline.
	dispatchTimeout, attemptTimeout time.Duration
	// retries limits how often a request that was not sent or was shed is dispatched again.
	retries int
	// onEvent is called with each event before it is handled; it may panic.
	onEvent func(steering.Event)
	// dispatchOnDisconnect delays the dispatch until the caller has disconnected.
	dispatchOnDisconnect bool

	mu          sync.Mutex
	watchers    map[id.Request]chan<- steering.RequestEffect
	attempts    map[id.Request]int
	arrivals    chan steering.RequestArrived
	attemptEnds chan steering.AttemptEnded
}

func (e *engine) Watch(request id.Request, effects chan<- steering.RequestEffect) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.watchers[request] = effects
}

func (e *engine) Unwatch(request id.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.watchers, request)
}

func (e *engine) Lookup(steering.LookupQuery) (steering.LookupResult, *steering.Refusal) {
	return steering.LookupResult{}, nil
}

func (e *engine) Post(event steering.Event) {
	if e.onEvent != nil {
		e.onEvent(event)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch v := event.(type) {
	case steering.RequestArrived:
		e.arrivals <- v
		if e.claimed {
			e.emit(steering.ReadBody{Request: v.Request})
		} else if !e.dispatchOnDisconnect {
			e.dispatch(v.Request)
		}
	case steering.BodyRead:
		e.dispatch(v.Request)
	case steering.BodyFailed:
		e.refuse(v.Request, steering.CodeInvalidBody, steering.NotRun)
	case steering.CallerDisconnected:
		if e.dispatchOnDisconnect {
			e.dispatch(v.Request)
		}
	case steering.TransferRequested:
		e.emit(steering.GrantTransfer{Request: v.Request, Size: v.Size})
	case steering.AttemptEnded:
		e.handleAttemptEnded(v)
	}
}

func (e *engine) handleAttemptEnded(v steering.AttemptEnded) {
	e.attemptEnds <- v
	switch v.Outcome.(type) {
	case steering.Answered:
	case steering.NothingSent, steering.Shed:
		if e.attempts[v.Request] <= e.retries && !v.BodyConsumed {
			e.dispatch(v.Request)
			return
		}
		e.refuse(v.Request, steering.CodeUpstreamFailed, steering.NotRun)
	case steering.TimedOut, steering.Cancelled:
		e.refuse(v.Request, steering.CodeDeadline, steering.OutcomeUnknown)
	default:
		e.refuse(v.Request, steering.CodeUpstreamFailed, steering.OutcomeUnknown)
	}
}

func (e *engine) dispatch(request id.Request) {
	e.attempts[request]++
	now := time.Now()
	e.emit(steering.Dispatch{
		Request: request, Organisation: "school", Upstream: "pregled-1", Address: e.upstream, Via: e.via, StoreResponse: e.claimed, Metered: e.metered,
		DispatchBy: now.Add(e.dispatchTimeout), Deadline: now.Add(e.attemptTimeout),
	})
}

func (e *engine) refuse(request id.Request, code steering.Code, outcome steering.Outcome) {
	e.emit(steering.Refuse{Request: request, Refusal: steering.Refusal{Code: code, Outcome: outcome}})
}

func (e *engine) emit(effect steering.RequestEffect) {
	if watcher := e.watchers[effect.RequestID()]; watcher != nil {
		watcher <- effect
	}
}

// start serves a gateway with the engine, as an instance does, and returns the address for callers.
func (e *engine) start(t testing.TB, c gateway.Config) string {
	e.watchers = map[id.Request]chan<- steering.RequestEffect{}
	e.attempts = map[id.Request]int{}
	e.arrivals, e.attemptEnds = make(chan steering.RequestArrived, 1<<16), make(chan steering.AttemptEnded, 1<<16)
	if e.dispatchTimeout == 0 {
		e.dispatchTimeout = time.Minute
	}
	if e.attemptTimeout == 0 {
		e.attemptTimeout = time.Minute
	}
	c.Engine = e
	g := gateway.New(c)
	server := httptest.NewUnstartedServer(g)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Config.MaxHeaderBytes = int(gateway.MaxResponseHeader)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		g.Close()
	})
	return server.Listener.Addr().String()
}

// nextOutcome waits for the next attempt to end and returns its outcome.
func (e *engine) nextOutcome(t testing.TB) steering.AttemptOutcome {
	t.Helper()
	select {
	case v := <-e.attemptEnds:
		return v.Outcome
	case <-time.After(testTimeout):
		require.FailNow(t, "no attempt has ended")
		return nil
	}
}

func (e *engine) nextArrival(t testing.TB) steering.RequestArrived {
	t.Helper()
	select {
	case v := <-e.arrivals:
		return v
	case <-time.After(testTimeout):
		require.FailNow(t, "no request has arrived")
		return steering.RequestArrived{}
	}
}

// serveTCP accepts connections at the returned address, runs serve for each and closes the connection afterwards.
func serveTCP(t testing.TB, serve func(c *net.TCPConn, r *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var conns []net.Conn
	wg.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			wg.Go(func() {
				defer c.Close()
				serve(c.(*net.TCPConn), bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		mu.Lock()
		for _, c := range conns {
			c.Close()
		}
		mu.Unlock()
		wg.Wait()
	})
	return listener.Addr().String()
}

// readRequest reads one request with its body. It returns nil if the connection ends first.
func readRequest(r *bufio.Reader) (*http.Request, []byte) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return nil, nil
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return nil, nil
	}
	return request, body
}

// resetConn closes the connection with RST instead of FIN.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// callerConn is a caller's raw connection, which shows details that an HTTP client would hide.
type callerConn struct {
	*net.TCPConn
	r *bufio.Reader
}

func sendRaw(t testing.TB, address, text string) *callerConn {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return &callerConn{c.(*net.TCPConn), bufio.NewReader(c)}
}

// readResponse reads the next response; complete reports whether it ended regularly.
func (c *callerConn) readResponse(t testing.TB, method string) (response *http.Response, body []byte, complete bool) {
	t.Helper()
	response, err := http.ReadResponse(c.r, &http.Request{Method: method})
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "hangs")
	if err != nil {
		return nil, nil, false
	}
	body, err = io.ReadAll(response.Body)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "hangs")
	return response, body, err == nil
}

func getRequest(path string) string {
	return "GET /service/pregled" + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// recordingUpstream starts an upstream that responds with the given text and sends the head of each request, unparsed, to
// the channel.
func recordingUpstream(t testing.TB, response string) (address string, heads chan string) {
	heads = make(chan string, 1<<10)
	return serveTCP(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			var head strings.Builder
			for line := ""; line != "\r\n"; head.WriteString(line) {
				var err error
				if line, err = r.ReadString('\n'); err != nil {
					return
				}
			}
			heads <- head.String()
			_, _ = io.WriteString(c, response)
		}
	}), heads
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
