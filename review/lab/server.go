package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server stands in for a server of the platform.
type server struct {
	id, service, zone string
	slots             int
	work              time.Duration
	address           string
	running, waiting  atomic.Int64
	sequence          atomic.Int64
	hasCrashed        atomic.Bool
	free              chan struct{}
	record            *record
	http              *http.Server
	// arrivals are the latest arrivals while the server was cold.
	mu       sync.Mutex
	arrivals []time.Time
	// coldUntil is when the server stops being cold, in Unix nanoseconds.
	coldUntil atomic.Int64
}

func newServer(rec *record, id, service, zone string, slots int, work time.Duration) (*server, error) {
	s := &server{
		id: id, service: service, zone: zone, slots: slots, work: work, free: make(chan struct{}, slots), record: rec,
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return s, nil
}

// heartbeatInterval is the time between two writes of a server's entry.
const heartbeatInterval = 1500 * time.Millisecond

// register writes the server's entry until ctx ends.
func (s *server) register(ctx context.Context, t *table) {
	for ctx.Err() == nil && !s.hasCrashed.Load() {
		s.write(t)
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// write writes the server's entry.
func (s *server) write(t *table) {
	t.put("servers", s.id, map[string]any{
		"address": s.address,
		"info":    map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{
			"state": "ready", "sequence": s.sequence.Add(1), "coldLeft": fmt.Sprintf("%dms", s.coldLeft().Milliseconds()),
		},
	})
}

// coldLeft returns how much longer the server is cold.
func (s *server) coldLeft() time.Duration {
	return max(time.Until(time.Unix(0, s.coldUntil.Load())), 0)
}

// makeCold makes the server cold from now on, and writes its entry.
func (s *server) makeCold(t *table, duration time.Duration) {
	s.coldUntil.Store(time.Now().Add(duration).UnixNano())
	s.write(t)
	s.record.note("%s is cold for %v", s.id, duration)
}

// coldCrashRate is the number of requests within a second that crashes the server while it is cold: well above what the rules
// allow, 19.4.
const coldCrashRate = 30

// arriveCold counts a request that arrives while the server is cold. Too many crash it.
func (s *server) arriveCold(attempt string) {
	now := time.Now()
	s.record.add(event{kind: "cold", id: attempt, at: now, where: s.id})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, now)
	if n := len(s.arrivals) - coldCrashRate; n > 0 && now.Sub(s.arrivals[n-1]) < time.Second && !s.hasCrashed.Swap(true) {
		s.record.note("%s crashes with %d requests", s.id, s.running.Load()+s.waiting.Load())
		_ = s.http.Close()
	}
}

// ServeHTTP runs a request, or rejects it if it is not for this server or if too many wait.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, attempt := w.Header(), r.Header.Get("X-Bluebellhold-Attempt-Id")
	h.Set("X-Bluebellhold-Attempt-Id", attempt)
	h.Set("X-Bluebellhold-Instance-Id", s.id)
	if expected := r.Header.Get("X-Bluebellhold-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if s.coldLeft() > 0 {
		s.arriveCold(attempt)
	}
	if s.waiting.Add(1) > int64(3*s.slots) {
		s.waiting.Add(-1)
		h.Set("X-Bluebellhold-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.free <- struct{}{}
	s.waiting.Add(-1)
	s.running.Add(1)
	s.record.add(event{kind: "run", id: attempt, at: time.Now(), where: s.id, tenant: r.Header.Get("X-Bluebellhold-Tenant")})
	if s.coldLeft() > 0 {
		time.Sleep(s.work)
	}
	time.Sleep(s.work)
	h.Set("X-Bluebellhold-Server-Load", fmt.Sprintf("%d,%d,%d", s.running.Load(), s.waiting.Load(), s.slots))
	s.running.Add(-1)
	<-s.free
	h.Set("X-Bluebellhold-Response-Seal", "seal-"+attempt)
	h.Set("Keep-Alive", "timeout=10")
	body := "answer to " + attempt
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}
