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
	p := &recordingProxy{listener: listener, target: target}
	go p.acceptLoop(t)
	return p
}

func (p *recordingProxy) address() string { return p.listener.Addr().String() }

func (p *recordingProxy) stall() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isStalled = true
}

func (p *recordingProxy) recorded() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return bytes.Clone(p.recording.Bytes())
}

func (p *recordingProxy) acceptLoop(t *testing.T) {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			client.Close()
			continue
		}
		t.Cleanup(func() { client.Close(); server.Close() })
		go p.forward(server, client, true)
		go p.forward(client, server, false)
	}
}

func (p *recordingProxy) forward(destination, source net.Conn, record bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := source.Read(buffer)
		p.mu.Lock()
		if record {
			p.recording.Write(buffer[:count])
		}
		isStalled := p.isStalled
		p.mu.Unlock()
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
