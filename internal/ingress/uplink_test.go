package ingress_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bluebellhold/platform"
	"bluebellhold/store"
	"github.com/stretchr/testify/require"
)

// linkMode is how a link treats its connections.
type linkMode string

const (
	linkHealthy linkMode = "healthy"
	// linkRefused resets the open connections and refuses new ones.
	linkRefused linkMode = "refused"
	// linkSilent drops all bytes and leaves new connections without an answer.
	linkSilent linkMode = "silent"
	// linkKept leaves the open connections alone and refuses new ones.
	linkKept linkMode = "kept"
)

// link is one instance's way to an upstream.
type link struct {
	*testing.T
	address, target string

	mu       sync.Mutex
	listener net.Listener
	mode     linkMode
	conns    map[net.Conn]bool
	// blockers fill the queue of a listener that accepts nothing.
	blockers []net.Conn
}

func newLink(t *testing.T, target string) *link {
	l := &link{T: t, target: target, conns: make(map[net.Conn]bool)}
	l.address = freeAddress(t)
	l.setMode(linkHealthy)
	t.Cleanup(func() { l.setMode(linkRefused) })
	return l
}

// setMode changes the mode of the link and of its open connections.
func (l *link) setMode(mode linkMode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = mode
	if l.listener != nil {
		_ = l.listener.Close()
		l.listener = nil
	}
	for _, c := range l.blockers {
		_ = c.Close()
	}
	l.blockers = nil
	switch mode {
	case linkHealthy:
		// Connections that a silent link has held up stay useless.
		listener, err := net.Listen("tcp", l.address)
		require.NoError(l, err)
		l.listener = listener
		go l.accept(listener)
	case linkSilent:
		l.listenSilently()
	case linkRefused:
		for c := range l.conns {
			_ = c.Close()
		}
	}
}

// listenSilently listens without accepting. Once the queue is full, the opening packets of connections are dropped.
func (l *link) listenSilently() {
	address, err := net.ResolveTCPAddr("tcp4", l.address)
	require.NoError(l, err)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	require.NoError(l, err)
	require.NoError(l, syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1))
	require.NoError(l, syscall.Bind(fd, &syscall.SockaddrInet4{Port: address.Port, Addr: [4]byte(address.IP.To4())}))
	require.NoError(l, syscall.Listen(fd, 0))
	file := os.NewFile(uintptr(fd), "link")
	l.listener, err = net.FileListener(file)
	require.NoError(l, err)
	require.NoError(l, file.Close())
	for {
		c, err := net.DialTimeout("tcp", l.address, 100*time.Millisecond)
		if err != nil {
			return
		}
		l.blockers = append(l.blockers, c)
	}
}

func (l *link) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	upstream, err := net.Dial("tcp", l.target)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[upstream] = true, true
	l.mu.Unlock()
	go l.copy(c, upstream)
	l.copy(upstream, c)
}

// copy copies bytes until one side closes or the link falls silent.
func (l *link) copy(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		isSilent := l.mode == linkSilent
		l.mu.Unlock()
		if isSilent {
			return
		}
		if n > 0 {
			_, err = to.Write(buffer[:n])
		}
		if err != nil {
			_, _ = to.Close(), from.Close()
			return
		}
	}
}

// linkedFeed shows an instance each upstream at the address of its own link to it.
type linkedFeed struct {
	*memoryFeed
	addresses map[string]string
}

func (f *linkedFeed) rewrite(table string, changes store.ChangeSet) store.ChangeSet {
	if table != platform.ServersTable {
		return changes
	}
	rows := make([]store.Change, len(changes.Rows))
	copy(rows, changes.Rows)
	for i := range rows {
		for target, address := range f.addresses {
			rows[i].Value = bytes.ReplaceAll(rows[i].Value, []byte(target), []byte(address))
		}
	}
	changes.Rows = rows
	return changes
}

func (f *linkedFeed) Snapshot(ctx context.Context, table string) (store.ChangeSet, error) {
	changes, err := f.memoryFeed.Snapshot(ctx, table)
	return f.rewrite(table, changes), err
}

func (f *linkedFeed) Changes(
	ctx context.Context, table string, afterVersion uint64, maxWait time.Duration,
) (store.ChangeSet, error) {
	changes, err := f.memoryFeed.Changes(ctx, table, afterVersion, maxWait)
	return f.rewrite(table, changes), err
}

// severedFleet is an instance whose links to all upstreams can be cut, and another one in another region.
type severedFleet struct {
	*harness
	links []*link
	// stopOther stops the other instance, and otherStopped is closed once it has stopped.
	stopOther    context.CancelFunc
	otherStopped chan struct{}
	// runs counts the runs of each attempt at the upstreams.
	mu   sync.Mutex
	runs map[string]int
}

func newSeveredFleet(t *testing.T, work time.Duration) *severedFleet {
	f := &severedFleet{runs: make(map[string]int)}
	f.harness = &harness{T: t, feed: &memoryFeed{}, address: freeAddress(t), log: &lockedBuffer{}}
	f.client = &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	f.feed.put(platform.OperatorTable, "config", []byte(document))
	feed := &linkedFeed{memoryFeed: f.feed, addresses: make(map[string]string)}
	for i := range 4 {
		target := f.serveUpstream(fmt.Sprint("u", i), serveWith(func(r *http.Request) string {
			f.mu.Lock()
			f.runs[r.Header.Get("X-Bluebellhold-Attempt-Id")]++
			f.mu.Unlock()
			time.Sleep(work)
			return responseTo(r, "ok")
		}))
		l := newLink(t, target)
		f.links = append(f.links, l)
		feed.addresses[target] = l.address
	}
	f.stopOther, f.otherStopped = f.startIn("koper", "koper-1", f.feed, freeAddress(t), io.Discard, time.Second)
	f.startIn("osrednja", "osrednja-1", feed, f.address, f.log, time.Second)
	return f
}

func (f *severedFleet) setMode(mode linkMode) {
	for _, l := range f.links {
		l.setMode(mode)
	}
}

// load sends requests of the method to the first instance for the duration, each on a connection of its own, and returns
// how many there were and how many were served.
func (f *severedFleet) load(method, path, label string, duration time.Duration) (sent, served int64) {
	var total, ok atomic.Int64
	var requests sync.WaitGroup
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(25 * time.Millisecond) {
		n := total.Add(1)
		requests.Go(func() {
			r := f.request(method, fmt.Sprint(path, label, n), "")
			r.Header.Set("Cookie", fmt.Sprint("X-Bluebellhold-Affinity-Key=", n%16))
			r.Close = true
			response, err := f.client.Do(r)
			if err != nil {
				return
			}
			defer response.Body.Close()
			if _, err := io.Copy(io.Discard, response.Body); err == nil && response.StatusCode == http.StatusOK {
				ok.Add(1)
			}
		})
	}
	requests.Wait()
	return total.Load(), ok.Load()
}

// contactTime is the users' bound after which callers of a cut-off instance must be served like those of others.
const contactTime = 4 * time.Second

// Guards against an instance that reaches no upstream and refuses its callers although another instance could reach the
// upstreams for it.
func TestCallersOfAnInstanceWithoutUpstreamsAreServed(t *testing.T) {
	for _, mode := range []linkMode{linkSilent, linkRefused, linkKept} {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			f := newSeveredFleet(t, 20*time.Millisecond)
			sent, served := f.load("GET", "/look/", "before", 2*time.Second)
			require.Equal(t, sent, served)
			f.setMode(mode)
			f.load("GET", "/look/", "early", contactTime)
			f.requireServed("GET", "/look/", "during")
			f.requireServed("POST", "/draw/", "during")
			f.setMode(linkHealthy)
			f.load("GET", "/look/", "healing", 2*time.Second)
			f.requireServed("GET", "/look/", "after")
			f.mu.Lock()
			defer f.mu.Unlock()
			for attempt, runs := range f.runs {
				if strings.Contains(attempt, "draw") {
					require.Equal(t, 1, runs, attempt)
				}
			}
		})
	}
}

// requireServed sends requests for a while and fails the test if more than a tenth are not served.
func (f *severedFleet) requireServed(method, path, label string) {
	f.Helper()
	sent, served := f.load(method, path, label, 2*time.Second)
	require.GreaterOrEqual(f, 10*served, 9*sent, "%s %s%s: %d of %d served", method, path, label, served, sent)
}

// Guards against a stop that cuts off the requests which another instance sends to upstreams through the one that stops.
func TestStopAnswersRequestsOfOtherInstances(t *testing.T) {
	f := newSeveredFleet(t, 700*time.Millisecond)
	f.setMode(linkRefused)
	f.load("GET", "/look/", "early", contactTime)
	var requests sync.WaitGroup
	stopAt := time.Now().Add(time.Second)
	for n := range 60 {
		requests.Go(func() {
			time.Sleep(time.Until(stopAt.Add(time.Duration(n-40) * 25 * time.Millisecond)))
			r := f.request("POST", fmt.Sprint("/draw/", n), "")
			r.Close = true
			response, err := f.client.Do(r)
			require.NoError(t, err)
			defer response.Body.Close()
			f.mu.Lock()
			runs := f.runs[r.Header.Get("X-Bluebellhold-Attempt-Id")]
			f.mu.Unlock()
			if runs > 0 {
				require.Equal(t, http.StatusOK, response.StatusCode, "request %d was run by an upstream", n)
			}
		})
	}
	time.Sleep(time.Until(stopAt))
	f.stopOther()
	requests.Wait()
	<-f.otherStopped
}
