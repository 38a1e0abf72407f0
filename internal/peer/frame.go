package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	lengthPrefixSize = 4
	// handshakeLimit bounds what a stranger can make a node read: two names of 255 bytes at most and a nonce.
	maxHandshakeFrame = 1 << 10
	// messageLimit bounds messages that share a stream, so that one cannot delay the next for long.
	maxMessageFrame = 256 << 10
	// bulkLimit allows an epoch's content of 32 MiB and the other fields of its message.
	maxEpochFrame = 32<<20 + 4<<10
	// keptBuffer is the largest buffer that an idle session keeps for its next frame.
	maxRetainedBuffer = 64 << 10
)

// appendFrame appends m with its length prefix to buffer.
func appendFrame(buffer []byte, m proto.Message, limit int) ([]byte, error) {
	size := proto.Size(m)
	if size > limit {
		return buffer, &FrameTooLargeError{Size: size, Limit: limit}
	}
	framed := binary.BigEndian.AppendUint32(buffer, uint32(size))
	framed, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(framed, m)
	if err != nil {
		return buffer, &InvalidMessageError{Cause: err}
	}
	return framed, nil
}

// writeFrame writes m as one frame.
func writeFrame(w io.Writer, m proto.Message, limit int) error {
	framed, err := appendFrame(nil, m, limit)
	if err != nil {
		return err
	}
	_, err = w.Write(framed)
	return err
}

// frameReader reads frames from one stream and reuses its buffer.
type frameReader struct {
	source  io.Reader
	maxSize int
	buffer  bytes.Buffer
}

// next reads one frame into m; io.EOF means that the stream ended between two frames.
//
// The buffer grows with the bytes that arrive, not with the announced size, so an announcement alone costs no memory.
func (r *frameReader) readFrame(m proto.Message) error {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r.source, prefix[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(r.maxSize) {
		return &FrameTooLargeError{Size: int(size), Limit: r.maxSize}
	}
	if r.buffer.Cap() > maxRetainedBuffer {
		r.buffer = bytes.Buffer{}
	}
	r.buffer.Reset()
	if _, err := io.CopyN(&r.buffer, r.source, size); err != nil {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if err := proto.Unmarshal(r.buffer.Bytes(), m); err != nil {
		return &InvalidMessageError{Cause: err}
	}
	return nil
}
