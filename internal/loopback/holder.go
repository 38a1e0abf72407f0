package loopback

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// heldBytes is the size of a Holder's receive buffers, which the kernel doubles.
	heldBytes = 4 << 10
	// drainTimeout limits how long a Holder reads from a connection after its release.
	drainTimeout = 5 * time.Second
)

// Holder accepts connections and reads nothing from them until it is released, as a network that holds up all bytes for a
// while and then delivers them.
type Holder struct {
	listener net.Listener
	released chan struct{}
	release  sync.Once
	readers  sync.WaitGroup
	accepted chan struct{}

	mu    sync.Mutex
	whole int
}

// Hold starts a Holder on a free port of 127.0.0.1.
func Hold() (*Holder, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var optionErr error
		err := raw.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, heldBytes)
		})
		if err != nil {
			return err
		}
		return optionErr
	}}
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &Holder{listener: listener, released: make(chan struct{}), accepted: make(chan struct{}, 1<<10)}
	go h.accept()
	return h, nil
}

// Address returns the address to connect to.
func (h *Holder) Address() string { return h.listener.Addr().String() }

// Accepted returns a channel that gets a value for each connection that was accepted.
func (h *Holder) Accepted() <-chan struct{} { return h.accepted }

// Release delivers what was held up, and returns the number of requests that arrived whole, once all connections have
// ended. No further connection is accepted.
func (h *Holder) Release() int {
	h.release.Do(func() {
		_ = h.listener.Close()
		close(h.released)
	})
	h.readers.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.whole
}

func (h *Holder) accept() {
	for {
		conn, err := h.listener.Accept()
		if err != nil {
			return
		}
		h.readers.Go(func() { h.read(conn) })
		h.accepted <- struct{}{}
	}
}

// read reads requests from a connection after the release, and answers none.
func (h *Holder) read(conn net.Conn) {
	defer conn.Close()
	<-h.released
	_ = conn.SetReadDeadline(time.Now().Add(drainTimeout))
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		h.mu.Lock()
		h.whole++
		h.mu.Unlock()
	}
}
