package ingress_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"bluebellhold/internal/ingress"
)

// Guards against requests whose body arrives whole after a stop has given up incomplete bodies, and that are taken for
// requests of a caller that has disconnected: idempotent ones are cut off at their upstream and answered 504.
func TestStopAnswersWholeBodiesThatArriveLate(t *testing.T) {
	const grace = 6 * time.Second
	var mu sync.Mutex
	ran := make(map[string]int)
	h := newHarness(t, serveWith(func(r *http.Request) string {
		mu.Lock()
		ran[r.Header.Get("X-Bluebellhold-Attempt-Id")]++
		mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		return responseTo(r, "ok")
	}))
	h.stop()
	<-h.stopped
	h.startWith("osrednja-1", func(c *ingress.Config) { c.Bounds.GracePeriod = grace })
	f := &stoppingFleet{harness: h}
	for range 10 {
		require.Equal(t, http.StatusOK, first(f.do("POST", "/look/before")))
	}
	var callers sync.WaitGroup
	var statuses [120]int
	var connections []*callerConnection
	for range 120 {
		c := f.dial()
		c.send("P")
		connections = append(connections, c)
	}
	time.Sleep(200 * time.Millisecond)
	f.requestStop()
	for n, c := range connections {
		callers.Go(func() {
			attemptID := fmt.Sprint("whole-", n)
			time.Sleep(time.Until(f.stoppedAt.Add(5110*time.Millisecond + time.Duration(n)*1900*time.Microsecond)))
			head := strings.Replace(requestHead(attemptID, 4), "/draw/", "/look/", 1)
			head = strings.Replace(head, "Deadline-Ms: 3000", "Deadline-Ms: 150", 1)
			c.send(head[1:] + "body")
			status, _ := c.answer()
			statuses[n] = status
		})
	}
	callers.Wait()
	<-f.stopped
	mu.Lock()
	defer mu.Unlock()
	counts, cutOff := make(map[int]int), 0
	for n, status := range statuses {
		counts[status]++
		if ran[fmt.Sprint("whole-", n)] > 0 && status != http.StatusOK {
			cutOff++
		}
	}
	t.Log("callers by status", counts)
	for _, line := range strings.Split(h.log.String(), "\n") {
		if strings.Contains(line, "whole-") && strings.Contains(line, "ran=true") {
			t.Log(line)
			break
		}
	}
	require.Zero(t, cutOff, "requests that an upstream ran and that were not answered with its response")
}
