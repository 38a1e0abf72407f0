package peer

import (
	"bytes"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

const (
	lengthPrefixSize = 4
	// maxHandshakeFrameSize limits what an unauthenticated client can make an instance read. A Hello holds a name of at
	// most 255 bytes and a nonce.
	maxHandshakeFrameSize = 1 << 10
	// maxMessageFrameSize limits messages that share a stream, so that one cannot delay the next for long.
	maxMessageFrameSize = 256 << 10
	// maxEpochFrameSize allows for a configuration of 32 MiB and the other fields of an EpochReply.
	maxEpochFrameSize = 32<<20 + 4<<10
	// maxRetainedBufferSize is the maximum capacity of a buffer that an idle session keeps, and the size of a write batch.
	maxRetainedBufferSize = 64 << 10
)

// appendFrame appends m with its length prefix to buffer. If the size of m exceeds maxSize bytes, it returns a
// FrameTooLargeError.
func appendFrame(buffer []byte, m proto.Message, maxSize int) ([]byte, error) {
	size := proto.Size(m)
	if size > maxSize {
		return buffer, &FrameTooLargeError{Size: size, Limit: maxSize}
	}
	framed := binary.BigEndian.AppendUint32(buffer, uint32(size))
	framed, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(framed, m)
	if err != nil {
		return buffer, &InvalidMessageError{Cause: err}
	}
	return framed, nil
}

// writeFrame writes m as one frame.
func writeFrame(w io.Writer, m proto.Message, maxSize int) error {
	framed, err := appendFrame(nil, m, maxSize)
	if err != nil {
		return err
	}
	_, err = w.Write(framed)
	return err
}

// frameReader decodes the frames of one stream and reuses its buffer.
type frameReader struct {
	source  io.Reader
	maxSize int
	buffer  bytes.Buffer
}

// readFrame decodes the next frame into m; io.EOF means that the stream ended between two frames.
//
// The buffer grows with the received bytes, so a length prefix alone does not allocate memory.
func (r *frameReader) readFrame(m proto.Message) error {
	var prefix [lengthPrefixSize]byte
	if _, err := io.ReadFull(r.source, prefix[:]); err != nil {
		return err
	}
	size := int64(binary.BigEndian.Uint32(prefix[:]))
	if size > int64(r.maxSize) {
		return &FrameTooLargeError{Size: int(size), Limit: r.maxSize}
	}
	if r.buffer.Cap() > maxRetainedBufferSize {
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
