package peer_test

import (
	"bytes"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// recordingProxy is a TCP proxy to one address that records what the dialling side sends and can stall.
type recordingProxy struct {
	listener  net.Listener
	target    string
	mu        sync.Mutex
	isStalled bool
	recording bytes.Buffer
}

func newRecordingProxy(t *testing.T, target string) *recordingProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r := &recordingProxy{listener: listener, target: target}
	go r.acceptLoop(t)
	return r
}

func (r *recordingProxy) address() string { return r.listener.Addr().String() }

func (r *recordingProxy) stall() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isStalled = true
}

func (r *recordingProxy) recorded() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return bytes.Clone(r.recording.Bytes())
}

func (r *recordingProxy) acceptLoop(t *testing.T) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.target)
		if err != nil {
			client.Close()
			continue
		}
		t.Cleanup(func() { client.Close(); server.Close() })
		go r.forward(server, client, true)
		go r.forward(client, server, false)
	}
}

func (r *recordingProxy) forward(destination, source net.Conn, record bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := source.Read(buffer)
		r.mu.Lock()
		if record {
			r.recording.Write(buffer[:count])
		}
		isStalled := r.isStalled
		r.mu.Unlock()
		if isStalled {
			return
		}
		destination.Write(buffer[:count])
		if err != nil {
			destination.Close()
			return
		}
	}
}
