package ingress

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/logwriter"
	"bluebellhold/placement"
)

// failureLinesPerSecond and successLinesPerSecond limit the lines about failed and about successful requests. They are
// separate, so that successes never displace the failures that users ask about.
const (
	failureLinesPerSecond = 100
	successLinesPerSecond = 40
)

// requestLog logs one line for each outcome of an attempt and each refusal. It limits its rate, and leaves lines out while
// half of the log's queue is in use, so that the other half is free for lines about the instance itself. Lines that are
// left out count as dropped.
type requestLog struct {
	writer *logwriter.Writer

	mu sync.Mutex
	// periodEnd is the end of the second that failures and successes are counted for.
	periodEnd time.Time
	failures  int
	successes int
	// oddHeaders are the names of upstreams' headers that were logged.
	oddHeaders map[string]bool
}

const (
	// maxOddHeaders bounds the headers that are logged, each once.
	maxOddHeaders = 64
	// maxLoggedHeaderBytes bounds what is logged of a header's name and of its value.
	maxLoggedHeaderBytes = 128
)

func newRequestLog(writer *logwriter.Writer) *requestLog {
	return &requestLog{writer: writer, oddHeaders: make(map[string]bool)}
}

func (l *requestLog) logFailure(message string, fields ...any) {
	l.write(&l.failures, failureLinesPerSecond, message, fields)
}

func (l *requestLog) logSuccess(message string, fields ...any) {
	l.write(&l.successes, successLinesPerSecond, message, fields)
}

func (l *requestLog) write(count *int, limit int, message string, fields []any) {
	if !l.allow(time.Now(), count, limit) || l.writer.IsBusy() {
		l.writer.CountDropped()
		return
	}
	l.writer.Logger().Info(message, fields...)
}

func (l *requestLog) allow(now time.Time, count *int, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.periodEnd) {
		l.periodEnd, l.failures, l.successes = now.Add(time.Second), 0, 0
	}
	*count++
	return *count <= limit
}

// logAttempt logs the outcome of an attempt.
func (l *requestLog) logAttempt(x *exchange, d entry.Dispatch, outcome entry.AttemptOutcome) {
	fields := []any{
		"id", x.callerHeaders.AttemptID, "service", d.Service, "object", x.callerHeaders.Object, "upstream", d.Upstream,
		"version", d.Diagnostics.Version, "sends", d.Diagnostics.Attempts, "expected", d.EstimatedLatency, "total", time.Since(x.startedAt),
	}
	if d.Via.Instance != "" {
		fields = append(fields, "via", d.Via.Instance)
	}
	switch outcome := outcome.(type) {
	case entry.Answered:
		fields = append(fields, "status", outcome.Status, "took", outcome.Elapsed, "load", formatLoad(outcome.Load), "limit", formatLimit(outcome.Limit))
		if outcome.IsServerError {
			l.logFailure("request: upstream returned a server error", fields...)
			return
		}
		l.logSuccess("request: answered", fields...)
	case entry.Shed:
		l.logFailure("request: shed by the upstream", append(fields, "load", formatLoad(outcome.Load), "limit", formatLimit(outcome.Limit), "rest", outcome.Rest, "anonymous", outcome.IsAnonymous)...)
	case entry.Misdirected:
		l.logFailure("request: misdirected; another upstream has the address", fields...)
	case entry.Unmatched:
		l.logFailure("request: outcome unknown, the response may belong to another request", fields...)
	case entry.NothingSent:
		l.logFailure("request: upstream not reached",
			append(fields, "listage", d.Diagnostics.UpstreamListAge, "error", x.attemptErr)...)
	case entry.HelperFailed:
		l.logFailure("request: no way to the upstream through the other instance", append(fields, "error", x.attemptErr)...)
	case entry.Broken:
		l.logFailure("request: attempt broken", append(fields, "error", x.attemptErr)...)
	case entry.TimedOut:
		l.logFailure("request: attempt timed out", append(fields, "took", outcome.Elapsed)...)
	case entry.Abandoned:
		l.logFailure("request: slow attempt abandoned for another upstream", append(fields, "took", outcome.Elapsed)...)
	case entry.Cancelled:
		l.logFailure("request: attempt ended for a caller that left", fields...)
	}
}

func formatLoad(load *placement.Load) string {
	if load == nil {
		return "unknown"
	}
	text := fmt.Sprintf("%d+%d/%d", load.Running, load.Waiting, load.Slots)
	if load.Work > 0 {
		text += fmt.Sprintf("x%.2f", load.Work)
	}
	return text
}

func formatLimit(limit *id.TokensPerSecond) string {
	if limit == nil {
		return "none"
	}
	return strconv.FormatFloat(float64(*limit), 'g', -1, 64)
}

// logOddHeader logs a header of an upstream that the codec does not know or could not read, once for each name.
func (l *requestLog) logOddHeader(x *exchange, message, name, value string) {
	name, value = name[:min(len(name), maxLoggedHeaderBytes)], value[:min(len(value), maxLoggedHeaderBytes)]
	l.mu.Lock()
	isNew := !l.oddHeaders[name] && len(l.oddHeaders) < maxOddHeaders
	if isNew {
		l.oddHeaders[name] = true
	}
	l.mu.Unlock()
	if isNew {
		l.logFailure(message, "name", name, "value", value, "id", x.callerHeaders.AttemptID,
			"upstream", x.dispatch.Upstream)
	}
}

// logUnmatchedResponse logs a response to another request, or one that names none on a connection that has carried others.
func (l *requestLog) logUnmatchedResponse(x *exchange, r parsedResponse) {
	fields := []any{
		"id", x.callerHeaders.AttemptID, "upstream", x.dispatch.Upstream, "status", r.response.StatusCode,
		"refusal", r.headers.IsNotExecuted,
	}
	if other := r.headers.AttemptID; other != "" {
		l.logFailure("request: late response to another request skipped", append(fields, "other", other)...)
		return
	}
	l.logFailure("request: response names no request on a connection that has carried others", fields...)
}

func (l *requestLog) logMemoryShort(x *exchange, d entry.Dispatch) {
	l.logFailure("memory: request not sent", "id", x.callerHeaders.AttemptID, "upstream", d.Upstream,
		"route", d.Diagnostics.Route, "body", x.body.Len())
}

// logRefusal logs a refusal with the data that the decision was based on.
func (l *requestLog) logRefusal(x *exchange, r entry.Refusal, status int) {
	d := r.Diagnostics
	fields := []any{
		"id", x.callerHeaders.AttemptID, "code", r.Code, "status", status, "ran", r.MayHaveRun,
		"total", time.Since(x.startedAt), "version", d.Version, "route", d.Route, "organisation", d.Organisation,
		"sends", d.Attempts,
	}
	switch r.Code {
	case entry.CodeRateLimited:
		fields = append(fields, "coordinator", d.Coordinator, "part", d.Share, "tokens", d.Tokens)
	case entry.CodeOverloaded, entry.CodeNoUpstream, entry.CodeDeadline, entry.CodeUpstreamFailed:
		fields = append(fields, "service", d.Service, "waiting", d.QueueLength, "wait", d.EstimatedWait, "upstreams", d.UpstreamCount,
			"listage", d.UpstreamListAge)
	}
	l.logFailure("request: refused", fields...)
}

// logCutOff logs a request whose connection a stop closes before the response, with its age and that of the stop.
func (l *requestLog) logCutOff(x *exchange, stopRequestedAt time.Time) {
	l.logFailure("request: cut off by the stop", "id", x.callerHeaders.AttemptID, "upstream", x.dispatch.Upstream,
		"sends", x.dispatch.Diagnostics.Attempts, "total", time.Since(x.startedAt), "afterstop", x.startedAt.Sub(stopRequestedAt))
}

func (l *requestLog) logWriteError(x *exchange, err error) {
	l.logFailure("request: writing the response failed", "id", x.callerHeaders.AttemptID, "error", err)
}
