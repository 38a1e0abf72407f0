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
)

// hang bounds every wait; it is reached only if the code under test hangs.
const hang = 10 * time.Second

// engine stands in for the reducer: it dispatches every request to one upstream and refuses it when an attempt fails.
type engine struct {
	upstream string
	kept     bool
	metered  bool
	// authority and patience are the time from a dispatch to its DispatchBy and Deadline.
	authority, patience time.Duration
	// retries is how often an attempt that was not sent is repeated.
	retries int
	// hook sees each event first; it may panic.
	hook func(steering.Event)
	// late holds the dispatch back until the caller has gone.
	late bool

	m        sync.Mutex
	watchers map[id.Request]chan<- steering.RequestEffect
	tries    map[id.Request]int
	arrivals chan steering.RequestArrived
	endings  chan steering.AttemptEnded
}

func (e *engine) Watch(request id.Request, effects chan<- steering.RequestEffect) {
	e.m.Lock()
	defer e.m.Unlock()
	e.watchers[request] = effects
}

func (e *engine) Unwatch(request id.Request) {
	e.m.Lock()
	defer e.m.Unlock()
	delete(e.watchers, request)
}

func (e *engine) Lookup(steering.LookupQuery) (steering.LookupAnswer, *steering.Refusal) {
	return steering.LookupAnswer{}, nil
}

func (e *engine) Post(event steering.Event) {
	if e.hook != nil {
		e.hook(event)
	}
	e.m.Lock()
	defer e.m.Unlock()
	switch v := event.(type) {
	case steering.RequestArrived:
		e.arrivals <- v
		if e.kept {
			e.emit(steering.ReadBody{Request: v.Request})
		} else if !e.late {
			e.dispatch(v.Request)
		}
	case steering.BodyRead:
		e.dispatch(v.Request)
	case steering.BodyFailed:
		e.refuse(v.Request, steering.CodeInvalidBody, steering.NotRun)
	case steering.CallerDisconnected:
		if e.late {
			e.dispatch(v.Request)
		}
	case steering.TransferRequested:
		e.emit(steering.GrantTransfer{Request: v.Request, Size: v.Size})
	case steering.AttemptEnded:
		e.ended(v)
	}
}

func (e *engine) ended(v steering.AttemptEnded) {
	e.endings <- v
	switch v.Outcome.(type) {
	case steering.Answered:
	case steering.NothingSent, steering.Shed:
		if e.tries[v.Request] <= e.retries && !v.BodyConsumed {
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
	e.tries[request]++
	now := time.Now()
	e.emit(steering.Dispatch{
		Request: request, Organisation: "school", Upstream: "pregled-1", Address: e.upstream, StoreAnswer: e.kept, Metered: e.metered,
		DispatchBy: now.Add(e.authority), Deadline: now.Add(e.patience),
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

// start serves a gateway with the engine, as the instance does, and returns the address for callers.
func (e *engine) start(t testing.TB, c gateway.Config) string {
	e.watchers = map[id.Request]chan<- steering.RequestEffect{}
	e.tries = map[id.Request]int{}
	e.arrivals, e.endings = make(chan steering.RequestArrived, 1<<16), make(chan steering.AttemptEnded, 1<<16)
	if e.authority == 0 {
		e.authority = time.Minute
	}
	if e.patience == 0 {
		e.patience = time.Minute
	}
	c.Engine = e
	g := gateway.New(c)
	server := httptest.NewUnstartedServer(g)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Config.MaxHeaderBytes = int(gateway.DefaultMaxHeader)
	server.Start()
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		g.Close()
	})
	return server.Listener.Addr().String()
}

// ending returns how the next attempt ended.
func (e *engine) ending(t testing.TB) steering.AttemptOutcome {
	t.Helper()
	select {
	case v := <-e.endings:
		return v.Outcome
	case <-time.After(hang):
		require.FailNow(t, "no attempt has ended")
		return nil
	}
}

func (e *engine) arrival(t testing.TB) steering.RequestArrived {
	t.Helper()
	select {
	case v := <-e.arrivals:
		return v
	case <-time.After(hang):
		require.FailNow(t, "no request has arrived")
		return steering.RequestArrived{}
	}
}

// serveRaw runs serve for each connection to the address that it returns, and closes the connection afterwards.
func serveRaw(t testing.TB, serve func(c *net.TCPConn, r *bufio.Reader)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var work sync.WaitGroup
	var m sync.Mutex
	var conns []net.Conn
	work.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			m.Lock()
			conns = append(conns, c)
			m.Unlock()
			work.Go(func() {
				defer c.Close()
				serve(c.(*net.TCPConn), bufio.NewReader(c))
			})
		}
	})
	t.Cleanup(func() {
		listener.Close()
		m.Lock()
		for _, c := range conns {
			c.Close()
		}
		m.Unlock()
		work.Wait()
	})
	return listener.Addr().String()
}

// readRequest reads one request with its body, or returns nil when the connection ends.
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

// reset closes the connection with a reset instead of a proper end.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// caller is a caller's connection that shows what an HTTP client would hide.
type caller struct {
	*net.TCPConn
	r *bufio.Reader
}

func call(t testing.TB, address, text string) *caller {
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(hang)))
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	return &caller{c.(*net.TCPConn), bufio.NewReader(c)}
}

// answer reads the next answer; whole tells whether it came to its proper end.
func (c *caller) answer(t testing.TB, method string) (response *http.Response, body []byte, whole bool) {
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

func get(path string) string { return "GET /service/pregled" + path + " HTTP/1.1\r\nHost: a\r\n\r\n" }

const ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// recorded is an upstream that answers with the given text and hands over each request as it came, up to the end of
// its head.
func recorded(t testing.TB, answer string) (address string, heads chan string) {
	heads = make(chan string, 1<<10)
	return serveRaw(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			var head strings.Builder
			for line := ""; line != "\r\n"; head.WriteString(line) {
				var err error
				if line, err = r.ReadString('\n'); err != nil {
					return
				}
			}
			heads <- head.String()
			_, _ = io.WriteString(c, answer)
		}
	}), heads
}

type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
