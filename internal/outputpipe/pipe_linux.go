package outputpipe

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"syscall"
	"time"
)

// Pipe copies what a process writes to another writer. It is safe for concurrent use.
type Pipe struct {
	reader, writer *os.File
	target         io.Writer
	copied         chan struct{}

	mu        sync.Mutex
	isStalled bool
	isClosed  bool
	// isReleased is set once the writer has been closed.
	isReleased bool
	resumed    chan struct{}
}

// New returns a pipe that is copied to target.
func New(target io.Writer) (*Pipe, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	p := &Pipe{reader: reader, writer: writer, target: target, copied: make(chan struct{}), resumed: make(chan struct{})}
	// The process inherits the mode of the writer's open file description.
	if err := syscall.SetNonblock(int(writer.Fd()), false); err != nil {
		return nil, err
	}
	go p.copyOutput()
	return p, nil
}

// Writer returns the end for the standard output and standard error of the process.
func (p *Pipe) Writer() *os.File { return p.writer }

// Stall stops reading and fills the pipe with empty lines, so that the next write to it blocks. After Release it returns
// os.ErrClosed.
func (p *Pipe) Stall() error {
	filler, err := p.startStall()
	if err != nil {
		return err
	}
	defer func() { _ = syscall.Close(filler) }()
	// A write that is at most as long as what is free never blocks; short ones fill the last bytes.
	for _, size := range []int{4096, 1} {
		for err = nil; err == nil; {
			if !p.stillStalled() {
				return nil
			}
			_, err = syscall.Write(filler, bytes.Repeat([]byte{'\n'}, size))
		}
		if !errors.Is(err, syscall.EAGAIN) {
			return err
		}
	}
	return nil
}

// stillStalled reports whether the pipe has not been resumed.
func (p *Pipe) stillStalled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isStalled
}

// startStall stops reading and returns a descriptor of the end that is written to.
func (p *Pipe) startStall() (filler int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isReleased {
		return 0, os.ErrClosed
	}
	p.isStalled = true
	// Ends a read in progress.
	if err := p.reader.SetReadDeadline(time.Now()); err != nil {
		return 0, err
	}
	// An open file description of its own, since the process inherits the flags of the other one.
	name := fmt.Sprintf("/proc/self/fd/%d", p.writer.Fd())
	return syscall.Open(name, syscall.O_WRONLY|syscall.O_NONBLOCK|syscall.O_CLOEXEC, 0)
}

// Resume reads again.
func (p *Pipe) Resume() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resume()
}

// resume is Resume for callers that hold mu.
func (p *Pipe) resume() error {
	if !p.isStalled {
		return nil
	}
	p.isStalled = false
	close(p.resumed)
	p.resumed = make(chan struct{})
	if p.isClosed {
		return nil
	}
	return p.reader.SetReadDeadline(time.Time{})
}

// CloseReader closes the end that is read, so that writes to the pipe fail.
func (p *Pipe) CloseReader() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isClosed = true
	return p.reader.Close()
}

// Release closes this process's copy of the end that is written to, and waits until the process has ended and its output is
// copied.
func (p *Pipe) Release() error {
	p.mu.Lock()
	p.isReleased = true
	err := errors.Join(p.resume(), p.writer.Close())
	p.mu.Unlock()
	<-p.copied
	return err
}

func (p *Pipe) copyOutput() {
	defer close(p.copied)
	for {
		_, err := io.Copy(p.target, p.reader)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			_ = p.reader.Close()
			return
		}
		p.mu.Lock()
		isStalled, resumed := p.isStalled, p.resumed
		p.mu.Unlock()
		if isStalled {
			<-resumed
		}
	}
}
