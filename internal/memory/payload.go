package memory

import (
	"context"
	"io"

	"bluebellhold/id"
)

// PartSize is the size of the parts of which a Payload of unknown length or of more than this length consists.
const PartSize = id.Bytes(64 << 10)

// Payload is a body that is read into memory which is counted. Nil is an empty body.
type Payload struct {
	memory *Memory
	parts  [][]byte
	// first is the memory of parts for a small payload.
	first [1][]byte
	size  id.Bytes
	held  id.Bytes
}

// ReadBody reads the body of a request to its end, after it has taken memory for it: for all of it if its length is known
// and not negative, else for each part. It returns a ShortError if there is no memory, and a TooLargeError if a limit above 0
// is exceeded.
func (m *Memory) ReadBody(ctx context.Context, r io.Reader, length, limit id.Bytes, from Requester) (*Payload, error) {
	return m.read(r, length, limit, func(size id.Bytes) bool { return m.holdBody(ctx, size, from) })
}

// ReadResponse reads the body of a response like ReadBody. It takes memory from the reservation of its attempt first.
func (m *Memory) ReadResponse(
	ctx context.Context, r io.Reader, length, limit id.Bytes, reservation *id.Bytes,
) (*Payload, error) {
	return m.read(r, length, limit, func(size id.Bytes) bool { return m.holdResponse(ctx, size, reservation) })
}

func (m *Memory) read(r io.Reader, length, limit id.Bytes, hold func(id.Bytes) bool) (*Payload, error) {
	switch {
	case length == 0:
		return nil, nil
	case limit > 0 && length > limit:
		return nil, &TooLargeError{Limit: limit}
	}
	p := &Payload{memory: m}
	p.parts = p.first[:0]
	if err := p.fill(r, length, limit, hold); err != nil {
		p.Release()
		return nil, err
	}
	return p, nil
}

func (p *Payload) fill(r io.Reader, length, limit id.Bytes, hold func(id.Bytes) bool) error {
	if length > 0 && !p.hold(allocatedSize(length), hold) {
		return &ShortError{Size: length}
	}
	for {
		if length < 0 && !p.hold(PartSize, hold) {
			return &ShortError{Size: PartSize}
		}
		part, err := readPart(r, p.newPart(length))
		p.parts = append(p.parts, part)
		p.size += id.Bytes(len(part))
		switch {
		case limit > 0 && p.size > limit:
			return &TooLargeError{Limit: limit}
		case err == io.EOF, err == nil && p.size == length:
			return nil
		case err != nil:
			return err
		}
	}
}

// allocatedSize returns the memory that a payload of a known length takes.
func allocatedSize(length id.Bytes) id.Bytes {
	if length <= PartSize {
		return length
	}
	return (length + PartSize - 1) / PartSize * PartSize
}

func (p *Payload) hold(size id.Bytes, hold func(id.Bytes) bool) bool {
	if !hold(size) {
		return false
	}
	p.held += size
	return true
}

// newPart returns an empty part for a payload of a length, which is negative if it is not known.
func (p *Payload) newPart(length id.Bytes) []byte {
	if length > 0 && length < PartSize {
		return make([]byte, 0, length)
	}
	return p.memory.takePart()
}

// readPart fills a part as far as r goes.
func readPart(r io.Reader, part []byte) ([]byte, error) {
	for len(part) < cap(part) {
		n, err := r.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		if err != nil {
			return part, err
		}
	}
	return part, nil
}

// Len returns the size of the payload.
func (p *Payload) Len() int {
	if p == nil {
		return 0
	}
	return int(p.size)
}

// WriteTo writes the payload to w, in one write for each part.
func (p *Payload) WriteTo(w io.Writer) (int64, error) {
	if p == nil {
		return 0, nil
	}
	var written int64
	for _, part := range p.parts {
		n, err := w.Write(part)
		written += int64(n)
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// Release ends the counting of the payload, which must not be used any more: its memory is used again.
func (p *Payload) Release() {
	if p == nil || p.held == 0 {
		return
	}
	p.memory.release(p.held, p.parts)
	p.parts, p.first[0], p.size, p.held = nil, nil, 0, 0
}

// ShortError reports that there is no memory for a part of a body.
type ShortError struct {
	Size id.Bytes
}

// Error describes the error.
func (e *ShortError) Error() string { return "memory: no memory for a body" }

// TooLargeError reports a body that exceeds a limit.
type TooLargeError struct {
	Limit id.Bytes
}

// Error describes the error.
func (e *TooLargeError) Error() string { return "memory: a body exceeds its limit" }
