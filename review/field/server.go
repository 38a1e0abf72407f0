package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server stands in for a server of a service.
type server struct {
	*field
	id, service, zone string
	address           string
	slots             int
	work              time.Duration
	born              int64
	http              *http.Server
	free              chan struct{}

	mu       sync.Mutex
	sequence int
	// isDown is set while the server has crashed; beatAt is when it last wrote its row, and coldUntil the end of its cold time.
	isDown            bool
	beatAt, coldUntil time.Time
	running           int
	runs              []runRecord
}

// runRecord is a request that the server has run, in whole or in part.
type runRecord struct {
	id, tenant  string
	begin, end  time.Time
	isAbandoned bool
}

func (s *server) start() error {
	address := s.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.address, s.isDown, s.sequence, s.born = listener.Addr().String(), false, 0, time.Now().UnixMilli()
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	server := s.http
	s.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	s.writeRow()
	return nil
}

// crash ends the server without notice; its requests and connections end with it.
func (s *server) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.note("server %s crashes", s.id)
	s.isDown = true
	_ = s.http.Close()
}

// restart starts the server again at its address and under its id; it is cold for a while.
func (s *server) restart() error {
	s.mu.Lock()
	s.coldUntil = time.Now().Add(coldStart)
	s.mu.Unlock()
	s.note("server %s is back", s.id)
	return s.start()
}

// writeRow renews the server's row. The store drops the row of one that has been down for three heartbeats.
func (s *server) writeRow() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.isDown {
		if now.Sub(s.beatAt) >= 3*heartbeat {
			s.store.remove("servers", s.id)
		}
		return
	}
	s.sequence++
	s.beatAt = now
	cold := max(s.coldUntil.Sub(now), 0).Milliseconds()
	s.store.put("servers", s.id, map[string]any{
		"address": s.address, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": "ready", "sequence": s.sequence, "coldLeft": strconv.FormatInt(cold, 10) + "ms"},
	})
}

// beat renews the server's row until the end of the case.
func (s *server) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.writeRow()
		case <-s.done:
			return
		}
	}
}

// ServeHTTP runs a request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Bluebellhold-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Bluebellhold-Attempt-Id")
	w.Header().Set("X-Bluebellhold-Attempt-Id", id)
	if r.Header.Get("X-Bluebellhold-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	// net/http notices the end of the connection once the body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case s.free <- struct{}{}:
	default:
		w.Header().Set("X-Bluebellhold-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.free }()
	run := runRecord{id: id, tenant: r.Header.Get("X-Bluebellhold-Tenant"), begin: time.Now()}
	s.log("run %s at %s for %s", id, s.id, run.tenant)
	work := time.NewTimer(s.work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-r.Context().Done():
		run.isAbandoned = true
	}
	run.end = time.Now()
	s.mu.Lock()
	s.runs = append(s.runs, run)
	s.mu.Unlock()
	s.log("end %s abandoned=%v", id, run.isAbandoned)
	body := "done " + id + "\n"
	w.Header().Set("X-Bluebellhold-Response-Seal", fmt.Sprintf("seal-%s", id))
	w.Header().Set("X-Bluebellhold-Server-Load", fmt.Sprintf("%d,0,%d", len(s.free), s.slots))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// allRuns returns what all servers have run, by the id of the client's attempt.
func (f *field) allRuns() map[string][]runRecord {
	runs := make(map[string][]runRecord)
	for _, s := range f.servers {
		s.mu.Lock()
		for _, r := range s.runs {
			runs[r.id] = append(runs[r.id], r)
		}
		s.mu.Unlock()
	}
	return runs
}
