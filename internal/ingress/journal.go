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
	// journalCapacity is the number of lines that may wait to be written; further lines are dropped, since logging must
	// never block a request.
	journalCapacity = 512
	// failureLinesPerSecond and successLinesPerSecond limit the lines about failed and about successful requests. They
	// are separate, so that successes never displace the failures that users ask about.
	failureLinesPerSecond = 100
	successLinesPerSecond = 40
)

// journal is the request log: one line for each outcome of an attempt and each refusal. It writes asynchronously, never
// blocks and limits its rate; dropped lines are counted.
type journal struct {
	log     *log.Logger
	queue   chan logLine
	writer  sync.WaitGroup
	dropped atomic.Uint64

	mu sync.Mutex
	// periodEnd is the end of the second that failures and successes are counted for.
	periodEnd time.Time
	failures  int
	successes int
}

type logLine struct {
	message string
	fields  []any
}

func newJournal(l *log.Logger) *journal {
	j := &journal{log: l, queue: make(chan logLine, journalCapacity)}
	j.writer.Go(j.writeLines)
	return j
}

func (j *journal) writeLines() {
	for l := range j.queue {
		if n := j.dropped.Swap(0); n > 0 {
			j.log.Warn("journal: lines dropped", "count", n)
		}
		j.log.Info(l.message, l.fields...)
	}
}

func (j *journal) close() {
	close(j.queue)
	j.writer.Wait()
}

func (j *journal) logFailure(message string, fields ...any) {
	j.enqueue(&j.failures, failureLinesPerSecond, logLine{message, fields})
}

func (j *journal) logSuccess(message string, fields ...any) {
	j.enqueue(&j.successes, successLinesPerSecond, logLine{message, fields})
}

func (j *journal) enqueue(count *int, limit int, l logLine) {
	if !j.allow(time.Now(), count, limit) {
		j.dropped.Add(1)
		return
	}
	select {
	case j.queue <- l:
	default:
		j.dropped.Add(1)
	}
}

func (j *journal) allow(now time.Time, count *int, limit int) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if !now.Before(j.periodEnd) {
		j.periodEnd, j.failures, j.successes = now.Add(time.Second), 0, 0
	}
	*count++
	return *count <= limit
}

// logAttempt logs the outcome of an attempt.
func (j *journal) logAttempt(x *exchange, d entry.Dispatch, outcome entry.AttemptOutcome) {
	fields := []any{
		"id", x.callerHeaders.AttemptID, "service", d.Service, "object", x.callerHeaders.Object, "upstream", d.Upstream,
		"version", d.Diagnostics.Version, "sends", d.Diagnostics.Attempts, "expected", d.EstimatedLatency, "total", time.Since(x.startedAt),
	}
	switch outcome := outcome.(type) {
	case entry.Answered:
		fields = append(fields, "status", outcome.Status, "took", outcome.Elapsed, "load", formatLoad(outcome.Load))
		if outcome.IsServerError {
			j.logFailure("request: upstream returned a server error", fields...)
			return
		}
		j.logSuccess("request: answered", fields...)
	case entry.Shed:
		j.logFailure("request: rejected by the upstream", append(fields, "load", formatLoad(outcome.Load))...)
	case entry.Misdirected:
		j.logFailure("request: misdirected; another upstream has the address", fields...)
	case entry.NothingSent:
		j.logFailure("request: upstream not reached",
			append(fields, "listage", d.Diagnostics.UpstreamListAge, "error", x.attemptErr)...)
	case entry.Broken:
		j.logFailure("request: attempt broken", append(fields, "error", x.attemptErr)...)
	case entry.TimedOut:
		j.logFailure("request: attempt timed out", append(fields, "took", outcome.Elapsed)...)
	case entry.Cancelled:
		j.logFailure("request: attempt ended for a caller that left", fields...)
	}
}

func formatLoad(l *placement.Load) string {
	if l == nil {
		return "unknown"
	}
	return fmt.Sprintf("%d+%d/%d", l.Running, l.Waiting, l.Slots)
}

func (j *journal) logForeignResponse(x *exchange, attemptID string) {
	j.logFailure("request: late response to another request skipped",
		"id", x.callerHeaders.AttemptID, "upstream", x.dispatch.Upstream, "other", attemptID)
}

// logRefusal logs a refusal with the data that the decision was based on.
func (j *journal) logRefusal(x *exchange, r entry.Refusal, status int) {
	d := r.Diagnostics
	fields := []any{
		"id", x.callerHeaders.AttemptID, "code", r.Code, "status", status, "ran", r.MayHaveRun,
		"total", time.Since(x.startedAt), "version", d.Version, "route", d.Route, "organisation", d.Organisation,
		"sends", d.Attempts,
	}
	switch r.Code {
	case entry.CodeRateLimited:
		fields = append(fields, "spent", d.Spent, "part", d.Limit)
	case entry.CodeOverloaded, entry.CodeNoUpstream, entry.CodeDeadline, entry.CodeUpstreamFailed:
		fields = append(fields, "service", d.Service, "waiting", d.QueueLength, "wait", d.EstimatedWait, "upstreams", d.UpstreamCount,
			"listage", d.UpstreamListAge)
	}
	j.logFailure("request: refused", fields...)
}

func (j *journal) logWriteError(x *exchange, err error) {
	j.logFailure("request: writing the response failed", "id", x.callerHeaders.AttemptID, "error", err)
}
