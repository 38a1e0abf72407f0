package peer_test

import (
	"bytes"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// relay passes connections on to one address, records what the dialling side sends, and can stop passing anything.
type relay struct {
	listener net.Listener
	to       string
	m        sync.Mutex
	frozen   bool
	record   bytes.Buffer
}

func newRelay(t *testing.T, to string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { listener.Close() })
	r := &relay{listener: listener, to: to}
	go r.run(t)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) freeze() {
	r.m.Lock()
	defer r.m.Unlock()
	r.frozen = true
}

func (r *relay) recorded() []byte {
	r.m.Lock()
	defer r.m.Unlock()
	return bytes.Clone(r.record.Bytes())
}

func (r *relay) run(t *testing.T) {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			near.Close()
			continue
		}
		t.Cleanup(func() { near.Close(); far.Close() })
		go r.pump(far, near, true)
		go r.pump(near, far, false)
	}
}

func (r *relay) pump(to, from net.Conn, record bool) {
	buffer := make([]byte, 4096)
	for {
		count, err := from.Read(buffer)
		r.m.Lock()
		if record {
			r.record.Write(buffer[:count])
		}
		frozen := r.frozen
		r.m.Unlock()
		if frozen {
			return
		}
		to.Write(buffer[:count])
		if err != nil {
			to.Close()
			return
		}
	}
}
