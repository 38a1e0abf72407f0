package ingress_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// stopGrace is the grace period of the harness's instances.
	stopGrace = 2 * time.Second
	// lateWork is how long upstreams work on a request in these tests; the route's timeout is longer.
	lateWork = 800 * time.Millisecond
)

// stoppingFleet is an instance that is being stopped, with an upstream that records the requests that it runs.
type stoppingFleet struct {
	*harness

	mu        sync.Mutex
	stoppedAt time.Time
	ran       map[string]int
	// statuses are those of the responses by attempt; 0 stands for a connection that ended without a whole one.
	statuses map[string]int
}

func newStoppingFleet(t *testing.T) *stoppingFleet {
	f := &stoppingFleet{ran: make(map[string]int), statuses: make(map[string]int)}
	f.harness = newHarness(t, serveWith(func(r *http.Request) string {
		f.mu.Lock()
		f.ran[r.Header.Get("X-Bluebellhold-Attempt-Id")]++
		f.mu.Unlock()
		time.Sleep(lateWork)
		return responseTo(r, "ok")
	}))
	return f
}

// requestStop starts the stop of the instance.
func (f *stoppingFleet) requestStop() {
	f.mu.Lock()
	f.stoppedAt = time.Now()
	f.mu.Unlock()
	f.stop()
}

// sleepUntil sleeps until a fraction of the grace period has passed.
func (f *stoppingFleet) sleepUntil(fraction float64) {
	f.mu.Lock()
	stoppedAt := f.stoppedAt
	f.mu.Unlock()
	time.Sleep(time.Until(stoppedAt.Add(time.Duration(fraction * float64(stopGrace)))))
}

func (f *stoppingFleet) runs(attemptID string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ran[attemptID]
}

// callerConnection is a connection of a caller that writes its requests itself.
type callerConnection struct {
	net.Conn
	reader *bufio.Reader
}

func (f *stoppingFleet) dial() *callerConnection {
	conn, err := net.Dial("tcp", f.address)
	require.NoError(f, err)
	f.Cleanup(func() { conn.Close() })
	return &callerConnection{conn, bufio.NewReader(conn)}
}

// requestHead returns the head of a request that may not be repeated; its body is chunked if length is negative.
func requestHead(attemptID string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d\r\n", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked\r\n"
	}
	return "POST /draw/" + attemptID + " HTTP/1.1\r\nHost: example\r\nX-Bluebellhold-Attempt-Id: " + attemptID +
		"\r\nX-Bluebellhold-Deadline-Ms: 3000\r\nAuthorization: Bearer secret-key\r\n" + framing + "\r\n"
}

// send writes bytes; the instance may have closed the connection.
func (c *callerConnection) send(text string) {
	_, _ = io.WriteString(c, text)
}

// answer reads the response. The status is 0 if the connection ends without a whole one.
func (c *callerConnection) answer() (status int, isLast bool) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, true
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}

// record records the status of the response to an attempt.
func (f *stoppingFleet) record(attemptID string, status int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.statuses[attemptID] = status
}

// requireAnswered waits for the end of the stop and requires that each request which an upstream has run got its response,
// and that any other one was refused as not run or found its connection closed.
func (f *stoppingFleet) requireAnswered() {
	f.Helper()
	<-f.stopped
	time.Sleep(lateWork)
	f.mu.Lock()
	defer f.mu.Unlock()
	for attemptID, status := range f.statuses {
		switch f.ran[attemptID] {
		case 0:
			require.Contains(f, []int{0, http.StatusServiceUnavailable}, status, attemptID)
		case 1:
			require.Equal(f, http.StatusOK, status, "%s was run by an upstream", attemptID)
		default:
			require.Fail(f, "more than one run", attemptID)
		}
	}
}

// Guards against a stop that leaves connections without any request open up to its end and cuts off the requests that
// then arrive on them.
func TestStopAnswersRequestsOnConnectionsOpenedAhead(t *testing.T) {
	f := newStoppingFleet(t)
	var connections []*callerConnection
	for range 8 {
		connections = append(connections, f.dial())
	}
	// The instance must have accepted them.
	require.Equal(t, http.StatusOK, first(f.do("POST", "/draw/before")))
	f.requestStop()
	var callers sync.WaitGroup
	for n, c := range connections {
		callers.Go(func() {
			attemptID := fmt.Sprint("ahead-", n)
			f.sleepUntil(0.4 + 0.07*float64(n))
			c.send(requestHead(attemptID, 4) + "body")
			status, _ := c.answer()
			f.record(attemptID, status)
		})
	}
	callers.Wait()
	f.requireAnswered()
}

func first(status int, _ string) int { return status }

// Guards against a stop that sends on requests which arrive in parts and complete when too little time is left for their
// upstream.
func TestStopAnswersRequestsThatArriveInParts(t *testing.T) {
	for _, length := range []int{8, -1} {
		t.Run(fmt.Sprint("length ", length), func(t *testing.T) {
			t.Parallel()
			f := newStoppingFleet(t)
			parts := []string{"body", "body"}
			if length < 0 {
				parts = []string{"4\r\nbody\r\n", "4\r\nbody\r\n0\r\n\r\n"}
			}
			var callers sync.WaitGroup
			startPart, endPart := make(chan struct{}), make(chan struct{})
			for n := range 10 {
				c := f.dial()
				callers.Go(func() {
					attemptID := fmt.Sprint("part-", n)
					head := requestHead(attemptID, length)
					if n%2 == 0 {
						c.send(head[:30])
						if n == 0 {
							close(startPart)
						}
						<-endPart
						f.sleepUntil(0.1 * float64(n))
						c.send(head[30:] + parts[0] + parts[1])
					} else {
						c.send(head + parts[0])
						<-endPart
						f.sleepUntil(0.1 * float64(n))
						c.send(parts[1])
					}
					status, _ := c.answer()
					f.record(attemptID, status)
				})
			}
			<-startPart
			time.Sleep(100 * time.Millisecond)
			f.requestStop()
			close(endPart)
			callers.Wait()
			f.requireAnswered()
		})
	}
}

// Guards against callers that go on to use a connection whose request was in flight when the stop began.
func TestStopAnswersRequestsInFlightAsTheLastOnes(t *testing.T) {
	f := newStoppingFleet(t)
	c := f.dial()
	c.send(requestHead("in-flight", 4) + "body")
	require.Eventually(t, func() bool { return f.runs("in-flight") == 1 }, 5*time.Second, time.Millisecond)
	f.requestStop()
	status, isLast := c.answer()
	require.Equal(t, http.StatusOK, status)
	require.True(t, isLast)
	<-f.stopped
}

// Guards against a stop that sends on requests whose upstream needs longer than what is left of the grace period, and cuts
// them off.
func TestStopRefusesRequestsThatWouldBeCutOff(t *testing.T) {
	f := newStoppingFleet(t)
	// The estimate of the upstream's processing time.
	require.Equal(t, http.StatusOK, first(f.do("POST", "/draw/before")))
	var callers sync.WaitGroup
	for n := range 16 {
		c := f.dial()
		// Each connection holds the first byte of its request, so that it is not closed as idle.
		c.send("P")
		callers.Go(func() {
			attemptID := fmt.Sprint("late-", n)
			time.Sleep(100 * time.Millisecond)
			f.sleepUntil(0.5 + 0.03*float64(n))
			c.send(requestHead(attemptID, 4)[1:] + "body")
			status, _ := c.answer()
			f.record(attemptID, status)
		})
	}
	f.requestStop()
	callers.Wait()
	f.requireAnswered()
}
