package ingress

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/internal/entry"
	"bluebellhold/placement"
)

const (
	// journalKept is how many lines wait to be written; more are dropped, since a log must never hold up a request.
	journalKept = 512
	// failureRate and successRate bound the lines per second about requests that failed in some way and about those
	// that did not. What failed is what a user asks about, so successes can't crowd it out.
	failureRate = 100
	successRate = 40
)

// journal writes one line for each decision about a request. It never blocks and bounds its volume.
type journal struct {
	log     *log.Logger
	lines   chan line
	done    sync.WaitGroup
	dropped atomic.Uint64

	m         sync.Mutex
	until     time.Time
	failures  int
	successes int
}

type line struct {
	text   string
	fields []any
}

func newJournal(l *log.Logger) *journal {
	j := &journal{log: l, lines: make(chan line, journalKept)}
	j.done.Go(j.write)
	return j
}

func (j *journal) write() {
	for l := range j.lines {
		if n := j.dropped.Swap(0); n > 0 {
			j.log.Warn("journal: lines dropped", "count", n)
		}
		j.log.Info(l.text, l.fields...)
	}
}

func (j *journal) close() {
	close(j.lines)
	j.done.Wait()
}

func (j *journal) failure(text string, fields ...any) {
	j.add(&j.failures, failureRate, line{text, fields})
}

func (j *journal) success(text string, fields ...any) {
	j.add(&j.successes, successRate, line{text, fields})
}

func (j *journal) add(count *int, limit int, l line) {
	if !j.isWithinRate(time.Now(), count, limit) {
		j.dropped.Add(1)
		return
	}
	select {
	case j.lines <- l:
	default:
		j.dropped.Add(1)
	}
}

func (j *journal) isWithinRate(now time.Time, count *int, limit int) bool {
	j.m.Lock()
	defer j.m.Unlock()
	if !now.Before(j.until) {
		j.until, j.failures, j.successes = now.Add(time.Second), 0, 0
	}
	*count++
	return *count <= limit
}

// ended records how an attempt ended.
func (j *journal) ended(x *exchange, d entry.Dispatch, e entry.Outcome) {
	fields := []any{
		"id", x.caller.Attempt, "service", d.Service, "object", x.caller.Object, "upstream", d.Upstream,
		"version", d.Diagnostics.Version, "sends", d.Diagnostics.Attempts, "expected", d.EstimatedLatency, "total", time.Since(x.started),
	}
	switch e := e.(type) {
	case entry.Answered:
		fields = append(fields, "status", e.Status, "took", e.Elapsed, "load", loadText(e.Load))
		if e.IsServerError {
			j.failure("request: upstream answered with a failure", fields...)
			return
		}
		j.success("request: answered", fields...)
	case entry.Shed:
		j.failure("request: upstream rejected it", append(fields, "load", loadText(e.Load))...)
	case entry.Misdirected:
		j.failure("request: another upstream has the address", fields...)
	case entry.NothingSent:
		j.failure("request: upstream not reached", append(fields, "listage", d.Diagnostics.UpstreamListAge, "error", x.failed)...)
	case entry.Broken:
		j.failure("request: attempt broken", append(fields, "error", x.failed)...)
	case entry.TimedOut:
		j.failure("request: attempt timed out", append(fields, "took", e.Elapsed)...)
	case entry.Cancelled:
		j.failure("request: attempt ended for a caller that left", fields...)
	}
}

func loadText(l *placement.Load) string {
	if l == nil {
		return "unknown"
	}
	return fmt.Sprintf("%d+%d/%d", l.Running, l.Waiting, l.Slots)
}

func (j *journal) foreign(x *exchange, attempt string) {
	j.failure("request: late answer to another request skipped", "id", x.caller.Attempt, "upstream", x.dispatch.Upstream,
		"other", attempt)
}

// refused records a refusal with what it was decided from.
func (j *journal) refused(x *exchange, r entry.Refusal, status int) {
	b := r.Diagnostics
	fields := []any{
		"id", x.caller.Attempt, "code", r.Code, "status", status, "ran", r.MayHaveRun, "total", time.Since(x.started),
		"version", b.Version, "route", b.Route, "organisation", b.Organisation, "sends", b.Attempts,
	}
	switch r.Code {
	case entry.CodeRate:
		fields = append(fields, "spent", b.Spent, "part", b.Limit)
	case entry.CodeBusy, entry.CodeNoUpstream, entry.CodeTimeout, entry.CodeBroken:
		fields = append(fields, "service", b.Service, "waiting", b.Waiting, "wait", b.EstimatedWait, "upstreams", b.UpstreamCount,
			"listage", b.UpstreamListAge)
	}
	j.failure("request: refused", fields...)
}

func (j *journal) undelivered(x *exchange, err error) {
	j.failure("request: answer not delivered", "id", x.caller.Attempt, "error", err)
}
