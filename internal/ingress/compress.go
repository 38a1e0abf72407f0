package ingress

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxUnpackedBytes bounds a decompressed message: an update holds maxUpdateBytes of rows and one more row, and the operator's
// document is a row of any size.
const maxUnpackedBytes = 16 << 20

// compressMessage returns the compressed encoding of a message.
func compressMessage(m proto.Message) ([]byte, error) {
	encoded, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(encoded); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return compressed.Bytes(), nil
}

// decompressMessage decodes what compressMessage returned. It returns a SizeError if the message is too large.
func decompressMessage(compressed []byte, m proto.Message) error {
	encoded, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), maxUnpackedBytes+1))
	if err != nil {
		return err
	}
	if len(encoded) > maxUnpackedBytes {
		return &SizeError{Limit: maxUnpackedBytes}
	}
	return proto.Unmarshal(encoded, m)
}

// SizeError reports a message of another instance that is larger than Limit bytes when decompressed.
type SizeError struct {
	Limit int
}

// Error returns a fixed message.
func (e *SizeError) Error() string { return "ingress: a decompressed message is too large" }
