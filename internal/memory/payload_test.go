package memory

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"bluebellhold/id"
)

// readFunc is an io.Reader.
type readFunc func(p []byte) (int, error)

// Read reads with the function.
func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// allocated returns the memory of parts and smaller buffers of payloads, and of free parts.
func (m *Memory) allocated(payloads ...*Payload) (size id.Bytes) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range payloads {
		for _, part := range p.parts {
			size += id.Bytes(cap(part))
		}
	}
	return size + id.Bytes(len(m.free))*PartSize
}

// Guards against bytes that are read before memory is held for them, and against copies that are not counted.
func TestMemoryIsHeldBeforeItIsFilled(t *testing.T) {
	const size = 10 * PartSize
	for name, length := range map[string]id.Bytes{"length": size, "chunked": -1} {
		t.Run(name, func(t *testing.T) {
			m := New(32*PartSize, metrics.NewRegistry())
			var read id.Bytes
			source := readFunc(func(p []byte) (int, error) {
				if read == size {
					return 0, io.EOF
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				require.GreaterOrEqual(t, m.ledger.held, read+id.Bytes(len(p)))
				if length > 0 {
					require.Equal(t, size, m.ledger.held)
				}
				n := min(len(p), 1000, int(size-read))
				read += id.Bytes(n)
				return n, nil
			})
			p, err := m.ReadBody(context.Background(), source, length, 0, Requester{})
			require.NoError(t, err)
			require.Equal(t, int(size), p.Len())
			require.LessOrEqual(t, m.allocated(p), m.ledger.held)
			p.Release()
			p.Release()
			require.Zero(t, m.ledger.held)
		})
	}
}

// Guards against bodies that change, lose their end or are cut off, and against those above a limit that are accepted.
func TestPayloadIsWhatWasRead(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	m := New(64*PartSize, metrics.NewRegistry())
	for _, size := range []int{1, 100, int(PartSize) - 1, int(PartSize), int(PartSize) + 1, 3 * int(PartSize), 400_000} {
		content := make([]byte, size)
		for i := range content {
			content[i] = byte(random.Uint32())
		}
		for _, length := range []id.Bytes{id.Bytes(size), -1} {
			p, err := m.ReadBody(context.Background(), bytes.NewReader(content), length, id.Bytes(size), Requester{})
			require.NoError(t, err)
			var out bytes.Buffer
			n, err := p.WriteTo(&out)
			require.NoError(t, err)
			require.Equal(t, int64(size), n)
			require.Equal(t, content, out.Bytes())
			p.Release()
			if size == 1 {
				continue // A limit of 0 means none.
			}
			_, err = m.ReadBody(context.Background(), bytes.NewReader(content), length, id.Bytes(size)-1, Requester{})
			var large *TooLargeError
			require.ErrorAs(t, err, &large)
		}
	}
	require.Zero(t, m.ledger.held)
}

// Guards against memory that stays counted after a body that breaks off, and against an error that is lost.
func TestBrokenBodyIsReleased(t *testing.T) {
	m := New(16*PartSize, metrics.NewRegistry())
	broken := errors.New("broken")
	for _, length := range []id.Bytes{5, 5 * PartSize, -1} {
		_, err := m.ReadBody(context.Background(), readFunc(func([]byte) (int, error) { return 0, broken }), length, 0, Requester{})
		require.ErrorIs(t, err, broken)
	}
	require.Zero(t, m.ledger.held)
}

// Guards against a memory limit that is exceeded by bodies, responses and parts kept for later use together, whatever comes
// at the same time, and against counts that drift.
func TestEverythingStaysWithinTheLimit(t *testing.T) {
	const limit = 30 * PartSize
	m := New(limit, metrics.NewRegistry())
	var all sync.WaitGroup
	for seed := range uint64(8) {
		all.Go(func() {
			random := rand.New(rand.NewPCG(seed, 7))
			for range 50 {
				size := id.Bytes(random.IntN(int(8 * PartSize)))
				length := size
				if random.IntN(2) == 0 {
					length = -1
				}
				source := io.LimitReader(readFunc(func(p []byte) (int, error) { return len(p), nil }), int64(size))
				p, err := m.ReadBody(context.Background(), source, length, 0, Requester{Priority: urgent, IsKnown: true})
				if err != nil {
					continue
				}
				if reservation, ok := m.Reserve(context.Background(), "r", urgent, 0); ok {
					response, err := m.ReadResponse(context.Background(), bytes.NewReader(make([]byte, size)), -1, 0, &reservation)
					if err == nil {
						response.Release()
					}
					m.EndReservation(reservation, "r", -1)
				}
				p.Release()
				m.mu.Lock()
				inUse := m.ledger.held + m.ledger.reserved + id.Bytes(len(m.free))*PartSize
				m.mu.Unlock()
				assert.LessOrEqual(t, inUse, limit)
			}
		})
	}
	all.Wait()
	require.Zero(t, m.ledger.held)
	require.Zero(t, m.ledger.reserved)
}

// Guards against large bodies that leave garbage, which the collector gives back too late.
func TestPartsAreUsedAgain(t *testing.T) {
	m := New(64*PartSize, metrics.NewRegistry())
	first, err := m.ReadBody(context.Background(), bytes.NewReader(make([]byte, 20*PartSize)), 20*PartSize, 0, Requester{})
	require.NoError(t, err)
	known := make(map[*byte]bool)
	for _, part := range first.parts {
		known[&part[0]] = true
	}
	first.Release()
	second, err := m.ReadBody(context.Background(), bytes.NewReader(make([]byte, 20*PartSize)), -1, 0, Requester{})
	require.NoError(t, err)
	for _, part := range second.parts[:20] {
		require.True(t, known[&part[0]])
	}
	second.Release()
}

// Guards against parts that are kept for ever after one burst of large bodies.
func TestIdlePartsAreDropped(t *testing.T) {
	m := New(64*PartSize, metrics.NewRegistry())
	p, err := m.ReadBody(context.Background(), bytes.NewReader(make([]byte, 20*PartSize)), 20*PartSize, 0, Requester{})
	require.NoError(t, err)
	p.Release()
	require.NotEmpty(t, m.free)
	for range 2 {
		m.checkedAt = m.checkedAt.Add(-idleInterval)
		m.release(0, nil)
	}
	require.Empty(t, m.free)
}

// Guards against a response that exceeds the memory although its attempt has reserved less.
func TestResponseBeyondItsReservationMustFit(t *testing.T) {
	m := New(16*PartSize, metrics.NewRegistry())
	reservation, ok := m.Reserve(context.Background(), "r", urgent, 0)
	require.True(t, ok)
	_, err := m.ReadResponse(context.Background(), bytes.NewReader(make([]byte, 17*PartSize)), -1, 0, &reservation)
	var short *ShortError
	require.ErrorAs(t, err, &short)
	m.EndReservation(reservation, "r", -1)
	require.Zero(t, m.ledger.held)
	require.Zero(t, m.ledger.reserved)
}

// Guards against retry times that are not true: callers that return when they were told to and find no memory, since all of
// them return at once or before memory is released.
func TestRefusedRequestsReturnWhenThereIsMemory(t *testing.T) {
	// 40 callers send bodies of 28 MiB at the same time. Four of them fit, each is held for a second.
	const body, holdTime, callers, step = 28 << 20, time.Second, 40, 10 * time.Millisecond
	type caller struct {
		at               time.Time
		isHeld, isServed bool
		refusals         int
	}
	l, now := newLedger(142<<20), start
	all := make([]caller, callers)
	for i := range all {
		all[i].at = now
	}
	served, refusedAgain, end := 0, 0, start
	for served < callers && now.Before(start.Add(time.Minute)) {
		for i := range all {
			c := &all[i]
			switch {
			case c.isServed || now.Before(c.at):
			case c.isHeld:
				l.release(now, body)
				c.isServed, end = true, now
				served++
			case l.holdBody(body, 0):
				c.isHeld, c.at = true, now.Add(holdTime)
			default:
				if c.refusals++; c.refusals == 2 {
					refusedAgain++
				}
				c.at = l.returnAt(now, body)
			}
		}
		now = now.Add(step)
	}
	t.Logf("all served after %v, %d of them refused more than once", end.Sub(start), refusedAgain)
	require.Equal(t, callers, served)
	require.LessOrEqual(t, refusedAgain, callers/20)
	require.Less(t, end.Sub(start), maxReturnDelay+2*holdTime)
}
