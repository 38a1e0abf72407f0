package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// event is what a client, a server or the platform has seen.
type event struct {
	kind, id, where string
	tenant, status  string
	at              time.Time
}

// record holds the events of a run.
type record struct {
	mu      sync.Mutex
	started time.Time
	events  []event
}

func newRecord() *record { return &record{started: time.Now()} }

func (r *record) add(e event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, e)
}

// count returns the number of events of a kind with a status.
func (r *record) count(kind, status string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, e := range r.events {
		if e.kind == kind && e.status == status {
			n++
		}
	}
	return n
}

// note records an event of the case itself, and prints it.
func (r *record) note(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.add(event{kind: "note", id: text, at: time.Now()})
	fmt.Printf("%8.3f %s\n", time.Since(r.started).Seconds(), text)
}

// write writes all events to a file, in order of their times.
func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.events, func(a, b event) int { return a.at.Compare(b.at) })
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(file)
	for _, e := range r.events {
		fmt.Fprintf(w, "%9.4f %s %s", e.at.Sub(r.started).Seconds(), e.kind, e.id)
		for _, part := range []string{e.where, e.tenant, e.status} {
			if part != "" {
				fmt.Fprint(w, " ", part)
			}
		}
		fmt.Fprintln(w)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return file.Close()
}

// span is when a request was sent and when it reached a server.
type span struct{ sent, arrived time.Time }

// spans returns the requests for which there is an event that isIncluded selects, in the order in which they were sent.
func (r *record) spans(isIncluded func(event) bool) []span {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := make(map[string]time.Time)
	var spans []span
	for _, e := range r.events {
		switch {
		case e.kind == "sent":
			sent[e.id] = e.at
		case isIncluded(e):
			spans = append(spans, span{sent[e.id], e.at})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	return spans
}

// busiest returns the largest number of requests that were sent and arrived within a window, and the start of the window.
func busiest(spans []span, window time.Duration) (count int, start time.Time) {
	for i, first := range spans {
		end, n := first.sent.Add(window), 0
		for _, s := range spans[i:] {
			if s.sent.After(end) {
				break
			}
			if !s.arrived.After(end) {
				n++
			}
		}
		if n > count {
			count, start = n, first.sent
		}
	}
	return count, start
}
