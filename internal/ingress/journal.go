package ingress

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/internal/entry"
)

const (
	// journalKept is how many lines wait to be written; more are dropped, since a log must never hold up a request.
	journalKept = 512
	// journalRate bounds the lines per second; a calm instance writes fewer.
	journalRate = 60
)

// journal writes one line for each decision about a request. It never blocks and bounds its volume.
type journal struct {
	log     *log.Logger
	lines   chan line
	done    sync.WaitGroup
	dropped atomic.Uint64

	m     sync.Mutex
	until time.Time
	count int
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

func (j *journal) add(text string, fields ...any) {
	if !j.isWithinRate(time.Now()) {
		j.dropped.Add(1)
		return
	}
	select {
	case j.lines <- line{text, fields}:
	default:
		j.dropped.Add(1)
	}
}

func (j *journal) isWithinRate(now time.Time) bool {
	j.m.Lock()
	defer j.m.Unlock()
	if !now.Before(j.until) {
		j.until, j.count = now.Add(time.Second), 0
	}
	j.count++
	return j.count <= journalRate
}

func (j *journal) ended(x *exchange, d entry.Dispatch, e entry.Ending) {
	a, ok := e.(entry.Answered)
	if !ok {
		return
	}
	j.add("request: answered", "id", x.caller.Attempt, "service", d.Service, "object", x.caller.Object,
		"upstream", d.Upstream, "status", a.Status, "took", a.Elapsed, "total", time.Since(x.started),
		"expected", d.Expected, "load", a.Load)
}

func (j *journal) unreached(x *exchange, d entry.Dispatch, err error) {
	j.add("request: upstream not reached", "id", x.caller.Attempt, "upstream", d.Upstream, "error", err)
}

func (j *journal) broken(x *exchange, err error) {
	j.add("request: attempt broken", "id", x.caller.Attempt, "upstream", x.dispatch.Upstream, "error", err)
}

func (j *journal) foreign(x *exchange, attempt string) {
	j.add("request: late answer to another request skipped", "id", x.caller.Attempt, "upstream", x.dispatch.Upstream,
		"other", attempt)
}

func (j *journal) refused(x *exchange, r entry.Refusal, status int) {
	j.add("request: refused", "id", x.caller.Attempt, "code", r.Code, "status", status, "ran", r.Ran,
		"after", time.Since(x.started))
}

func (j *journal) undelivered(x *exchange, err error) {
	j.add("request: answer not delivered", "id", x.caller.Attempt, "error", err)
}
