package silence

import (
	"context"
	"io"
	"time"
)

// Config configures a Watch.
type Config struct {
	// First is the time until the first bytes, and Between that between two parts.
	First, Between time.Duration
}

// Watch cancels the context of a call that has fallen silent.
type Watch struct {
	between time.Duration
	cancel  context.CancelCauseFunc
	timer   *time.Timer
}

// New starts a Watch and returns the context for the call; its cause is an Error once the call has fallen silent.
func New(ctx context.Context, config Config) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &Watch{
		between: config.Between, cancel: cancel, timer: time.AfterFunc(config.First, func() { cancel(&Error{}) }),
	}
}

// Progress postpones the end of the call.
func (w *Watch) Progress() { w.timer.Reset(w.between) }

// Reader returns a reader whose bytes are the progress of the call.
func (w *Watch) Reader(r io.Reader) io.Reader { return reader{r, w} }

// Stop ends the Watch and releases the context.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}

type reader struct {
	io.Reader
	watch *Watch
}

// Read reads and reports progress.
func (r reader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.watch.Progress()
	}
	return n, err
}

// Error reports a call that was given up because the other side sent nothing for some time.
type Error struct{}

// Error describes the failure.
func (e *Error) Error() string { return "silence: nothing arrived in time" }
