package logwriter_test

import (
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/stretchr/testify/require"

	"bluebellhold/logwriter"
)

// output collects what is written. Its methods stall and fail change how the next writes end.
type output struct {
	mu     sync.Mutex
	writes []string
	err    error
	gate   sync.RWMutex
	// entered receives a value for each write that begins.
	entered chan struct{}
}

func newOutput() *output { return &output{entered: make(chan struct{}, 1<<16)} }

func (o *output) Write(p []byte) (int, error) {
	o.entered <- struct{}{}
	o.gate.RLock()
	defer o.gate.RUnlock()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	o.writes = append(o.writes, string(p))
	return len(p), nil
}

// stall blocks all writes until the returned function is called.
func (o *output) stall() (resume func()) {
	o.gate.Lock()
	return o.gate.Unlock
}

func (o *output) fail(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.err = err
}

func (o *output) text() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.writes, "")
}

func newWriter(o io.Writer) *logwriter.Writer {
	return logwriter.New(logwriter.Config{Output: o, Options: log.Options{Formatter: log.LogfmtFormatter}})
}

// closeTimeout only ends tests that would hang.
const closeTimeout = 20 * time.Second

func closeWriter(w *logwriter.Writer) { w.Close(time.Now().Add(closeTimeout)) }

var numberPattern = regexp.MustCompile(`number=(\d+)`)

// numbersOf returns the numbers of the lines in their order.
func numbersOf(t *testing.T, text string) []int {
	var numbers []int
	for _, match := range numberPattern.FindAllStringSubmatch(text, -1) {
		n, err := strconv.Atoi(match[1])
		require.NoError(t, err)
		numbers = append(numbers, n)
	}
	return numbers
}

// reportedIn returns the sum of the dropped lines that reports name.
func reportedIn(t *testing.T, text string) (sum uint64) {
	for _, match := range regexp.MustCompile(`msg="journal: lines dropped" count=(\d+)\n`).FindAllStringSubmatch(text, -1) {
		n, err := strconv.ParseUint(match[1], 10, 64)
		require.NoError(t, err)
		sum += n
	}
	return sum
}

// Guards against a logger that waits for a stalled output, loses queued lines, changes their order, or keeps the number of
// dropped ones to itself. With a logger that writes itself, the test hangs.
func TestStalledOutputDropsLinesAndReportsThem(t *testing.T) {
	const lines = 20_000
	o := newOutput()
	w := newWriter(o)
	resume := o.stall()
	for n := range lines {
		w.Logger().Info("request: answered", "number", n)
	}
	require.True(t, w.IsBusy())
	dropped := w.Dropped()
	require.NotZero(t, dropped)
	resume()
	closeWriter(w)
	numbers := numbersOf(t, o.text())
	require.Len(t, numbers, lines-int(dropped))
	for n := range numbers {
		require.Equal(t, n, numbers[n], "the oldest lines are kept in order")
	}
	require.Equal(t, dropped, reportedIn(t, o.text()))
	require.Equal(t, dropped, w.Dropped())
}

// Guards against reports that wait for the next line, which may come much later.
func TestDroppedLinesAreReportedWithoutAFurtherLine(t *testing.T) {
	o := newOutput()
	w := newWriter(o)
	for range 3 {
		w.CountDropped()
	}
	require.Eventually(t, func() bool { return reportedIn(t, o.text()) == 3 }, closeTimeout, time.Millisecond)
	require.Empty(t, numbersOf(t, o.text()))
}

// Guards against a report for each dropped line, which would take the place of other lines.
func TestReportsAreRare(t *testing.T) {
	o := newOutput()
	w := newWriter(o)
	start := time.Now()
	for range 1000 {
		w.CountDropped()
		time.Sleep(100 * time.Microsecond)
	}
	closeWriter(w)
	require.Equal(t, uint64(1000), reportedIn(t, o.text()))
	require.LessOrEqual(t, strings.Count(o.text(), "lines dropped"), 2+int(time.Since(start)/time.Second))
}

// Guards against an output that fails for good once it has failed, and against lines that are lost without a count.
func TestFailedOutputIsUsedAgain(t *testing.T) {
	o := newOutput()
	w := newWriter(o)
	o.fail(syscall.EPIPE)
	for n := range 10 {
		w.Logger().Info("request: answered", "number", n)
	}
	require.Eventually(t, func() bool { return w.Dropped() == 10 }, closeTimeout, time.Millisecond)
	o.fail(nil)
	w.Logger().Info("request: answered", "number", 10)
	closeWriter(w)
	require.Equal(t, []int{10}, numbersOf(t, o.text()))
	require.Equal(t, uint64(10), reportedIn(t, o.text()))
}

// Guards against writes that a pipe mixes with those of other processes, and against a long line that holds up others.
func TestLinesAreWrittenWholeInSmallWrites(t *testing.T) {
	const pipeBuf = 4096
	o := newOutput()
	w := newWriter(o)
	resume := o.stall()
	for n := range 500 {
		length := 10 + 7*n%300
		if n == 250 {
			length = 3 * pipeBuf
		}
		w.Logger().Info("request: answered", "number", n, "text", strings.Repeat("x", length))
	}
	resume()
	closeWriter(w)
	require.Len(t, numbersOf(t, o.text()), 500)
	for _, write := range o.writes {
		require.True(t, strings.HasSuffix(write, "\n"))
		require.True(t, len(write) <= pipeBuf || strings.Count(write, "\n") == 1, "a write of %d bytes", len(write))
	}
}

// Guards against a stop that waits for an output which nobody reads. With a wait without a bound, the test hangs.
func TestCloseDoesNotWaitBeyondItsDeadline(t *testing.T) {
	o := newOutput()
	w := newWriter(o)
	resume := o.stall()
	defer resume()
	w.Logger().Info("instance: stopped")
	<-o.entered
	w.Close(time.Now().Add(20 * time.Millisecond))
	w.Close(time.Now())
	require.Empty(t, o.text())
}

// Guards against the panic of a line that is logged while the writer is closed or afterwards, as by handlers of requests
// that are cut off, and against last lines that are not written.
func TestLinesMayBeLoggedDuringAndAfterClose(t *testing.T) {
	o := newOutput()
	w := newWriter(o)
	w.Logger().Info("instance: stopping")
	var loggers sync.WaitGroup
	begun := make(chan struct{}, 4)
	for range 4 {
		loggers.Go(func() {
			for n := range 500 {
				w.Logger().Info("request: refused", "number", n)
				if n == 100 {
					begun <- struct{}{}
				}
			}
		})
	}
	<-begun
	closeWriter(w)
	loggers.Wait()
	text := o.text()
	require.Contains(t, text, "instance: stopping")
	require.Equal(t, 4*500, len(numbersOf(t, text))+int(w.Dropped()))
	w.Logger().Info("instance: stopped")
	w.CountDropped()
	closeWriter(w)
	require.Equal(t, text, o.text())
}

// Guards against two writers of the output at a time, and against lines that are lost between them.
func TestConcurrentLinesAreAllWritten(t *testing.T) {
	o := newOutput()
	w := newWriter(o)
	var loggers sync.WaitGroup
	for g := range 8 {
		loggers.Go(func() {
			for n := range 100 {
				w.Logger().With("part", fmt.Sprint(g)).Info("request: answered", "number", n)
			}
		})
	}
	loggers.Wait()
	closeWriter(w)
	require.Zero(t, w.Dropped())
	require.Len(t, numbersOf(t, o.text()), 800)
}
