package memory

import (
	"context"
	"io"

	"bluebellhold/id"
)

// minBufferSize is the size with which a Buffer for a body of unknown length begins.
const minBufferSize = id.Bytes(4 << 10)

// Buffer is the contiguous beginning of a body, in memory that is counted.
type Buffer struct {
	memory *Memory
	bytes  []byte
	held   id.Bytes
}

// NewBuffer returns an empty buffer.
func (m *Memory) NewBuffer() Buffer { return Buffer{memory: m} }

// Bytes returns what the buffer contains. It is valid until Release.
func (b *Buffer) Bytes() []byte { return b.bytes }

// Fill reads r to its end or until the buffer contains most bytes, and reports whether it found the end. Memory is taken
// before it is allocated: all of it if the length of the body is known and not negative. It returns a ShortError if there is
// none.
func (b *Buffer) Fill(ctx context.Context, r io.Reader, length, most id.Bytes, from Requester) (isEnd bool, err error) {
	needed := minBufferSize
	if length >= 0 {
		needed = min(length, most)
	}
	for {
		if err := b.grow(ctx, min(needed, most), from); err != nil {
			return false, err
		}
		b.bytes, err = readPart(r, b.bytes)
		size := id.Bytes(len(b.bytes))
		switch {
		case err == io.EOF, err == nil && size == length:
			return true, nil
		case err != nil:
			return false, err
		case size >= most:
			return false, nil
		}
		needed = 2 * size
	}
}

// grow makes room for a number of bytes. It holds the memory of both copies meanwhile.
func (b *Buffer) grow(ctx context.Context, needed id.Bytes, from Requester) error {
	if needed <= id.Bytes(cap(b.bytes)) {
		return nil
	}
	if !b.memory.holdBody(ctx, needed, from) {
		return &ShortError{Size: needed}
	}
	grown := append(make([]byte, 0, needed), b.bytes...)
	b.memory.release(b.held, nil)
	b.bytes, b.held = grown, needed
	return nil
}

// Release ends the counting of the buffer, whose bytes must not be used any more.
func (b *Buffer) Release() {
	if b.held > 0 {
		b.memory.release(b.held, nil)
	}
	b.bytes, b.held = nil, 0
}
