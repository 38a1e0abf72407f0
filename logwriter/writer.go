package logwriter

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bluebellhold/id"
)

const (
	// queueCapacity is the size of the lines that may wait, including those that are being written.
	queueCapacity id.Bytes = 256 << 10
	// maxWriteSize is the size of a write to the output, except for a longer line. It is PIPE_BUF: a pipe does not mix
	// writes of this size with those of other processes.
	maxWriteSize id.Bytes = 4096
	// reportDelay is the time from a dropped line to its report, which also covers the lines that are dropped meanwhile.
	reportDelay = time.Second
)

// Config configures a Writer.
type Config struct {
	// Output receives the lines. Its Write may block, and is called by one goroutine at a time.
	Output io.Writer
	// Options are those of the logger, which also apply to the reports of dropped lines.
	Options log.Options
}

// Writer queues log lines and writes them to its output. It is safe for concurrent use.
type Writer struct {
	logger *log.Logger
	output io.Writer
	// report formats the reports of dropped lines into reportBuffer; only the writing goroutine uses them.
	report       *log.Logger
	reportBuffer bytes.Buffer

	mu sync.Mutex
	// pending holds the lines that wait, and spare an empty buffer that replaces it.
	pending, spare []byte
	// writing is the size of the lines that were taken from pending and not yet written.
	writing int
	// isWriting is whether the writing goroutine runs.
	isWriting bool
	// dropped counts all dropped lines, and unreported those that no report has named.
	dropped, unreported uint64
	isReportDue         bool
	reportTimer         *time.Timer
	isClosed            bool
	// written is closed once the Writer is closed and has written its lines.
	written chan struct{}
}

// New returns a Writer.
func New(c Config) *Writer {
	w := &Writer{output: c.Output, written: make(chan struct{})}
	w.logger = log.NewWithOptions(w, c.Options)
	w.report = log.NewWithOptions(&w.reportBuffer, c.Options)
	w.report.SetLevel(log.WarnLevel)
	return w
}

// Logger returns the logger whose lines the Writer takes.
func (w *Writer) Logger() *log.Logger { return w.logger }

// Write queues a copy of a line, or drops it if the queue is full or the Writer is closed. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.isClosed || len(w.pending)+w.writing+len(line) > int(queueCapacity) {
		w.dropLocked(1)
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	w.startLocked()
	return len(line), nil
}

// IsBusy reports whether half of the queue is in use, so that less important lines are better left out.
func (w *Writer) IsBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.pending)+w.writing > int(queueCapacity)/2
}

// CountDropped counts a line that the caller left out as a dropped one.
func (w *Writer) CountDropped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropLocked(1)
}

// Dropped returns the number of lines that were dropped so far.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close drops all later lines and waits until the queued ones are written, at most until the deadline.
func (w *Writer) Close(deadline time.Time) {
	w.mu.Lock()
	if !w.isClosed {
		w.isClosed = true
		w.isReportDue = w.unreported > 0
		w.startLocked()
	}
	w.mu.Unlock()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-w.written:
	case <-timer.C:
	}
}

// dropLocked counts dropped lines and schedules a report.
func (w *Writer) dropLocked(lines uint64) {
	w.dropped += lines
	w.unreported += lines
	w.scheduleReportLocked()
}

func (w *Writer) scheduleReportLocked() {
	if w.reportTimer == nil && !w.isReportDue && !w.isClosed {
		w.reportTimer = time.AfterFunc(reportDelay, w.requestReport)
	}
}

func (w *Writer) requestReport() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reportTimer = nil
	if w.isClosed {
		return
	}
	w.isReportDue = w.unreported > 0
	w.startLocked()
}

// startLocked starts the writing goroutine unless it runs.
func (w *Writer) startLocked() {
	if !w.isWriting {
		w.isWriting = true
		go w.writePending()
	}
}

// writePending writes lines and due reports until there are none.
func (w *Writer) writePending() {
	for {
		w.mu.Lock()
		if len(w.pending) == 0 && !w.isReportDue {
			w.isWriting = false
			if w.isClosed {
				close(w.written)
			}
			w.mu.Unlock()
			return
		}
		batch := w.pending
		w.pending, w.spare = w.spare, nil
		w.writing = len(batch)
		w.mu.Unlock()

		w.writeBatch(batch)
		w.mu.Lock()
		w.spare = batch[:0]
		w.mu.Unlock()
		w.writeReport()
	}
}

// writeBatch writes the lines in parts of up to maxWriteSize.
func (w *Writer) writeBatch(batch []byte) {
	for len(batch) > 0 {
		part := batch[:firstLines(batch)]
		batch = batch[len(part):]
		n, err := w.output.Write(part)
		w.mu.Lock()
		w.writing -= len(part)
		if err != nil {
			// A report is scheduled once a write succeeds.
			lost := uint64(bytes.Count(part[min(max(n, 0), len(part)):], []byte{'\n'}))
			w.dropped += lost
			w.unreported += lost
		} else if w.unreported > 0 {
			w.scheduleReportLocked()
		}
		w.mu.Unlock()
	}
}

// firstLines returns the size of the first lines of the batch that fit into maxWriteSize, or of the first line.
func firstLines(batch []byte) int {
	if len(batch) <= int(maxWriteSize) {
		return len(batch)
	}
	if end := bytes.LastIndexByte(batch[:maxWriteSize], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(batch, '\n'); end >= 0 {
		return end + 1
	}
	return len(batch)
}

// writeReport writes a report if one is due. If that fails, the lines are reported after a later write that succeeds.
func (w *Writer) writeReport() {
	w.mu.Lock()
	if !w.isReportDue {
		w.mu.Unlock()
		return
	}
	lines := w.unreported
	w.isReportDue = false
	w.mu.Unlock()
	w.report.Warn("journal: lines dropped", "count", lines)
	_, err := w.output.Write(w.reportBuffer.Bytes())
	w.reportBuffer.Reset()
	w.mu.Lock()
	defer w.mu.Unlock()
	if err == nil {
		w.unreported -= lines
	}
}
