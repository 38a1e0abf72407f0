package peer

import (
	"bytes"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"bluebellhold/internal/wire"
)

// Guards against input that crashes the frame reader, makes it read past the end of a frame or exceeds the size limit.
func FuzzFrame(f *testing.F) {
	const limit = 64
	for _, m := range []*wire.Envelope{
		{},
		{Payload: &wire.Envelope_Farewell{Farewell: &wire.Farewell{}}},
		{Payload: &wire.Envelope_LoanReply{LoanReply: &wire.LoanReply{Id: 1, Limit: "rate/a", Amount: 2.5, Term: 3}}},
	} {
		framed, err := appendFrame(nil, m, limit)
		require.NoError(f, err)
		f.Add(append(framed, framed...))
	}
	f.Add([]byte{0, 0, 0, limit + 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0})
	f.Fuzz(func(t *testing.T, stream []byte) {
		source := bytes.NewReader(stream)
		reader := frameReader{source: source, maxSize: limit}
		for {
			unreadBefore := source.Len()
			var m, roundTripped wire.Envelope
			err := reader.readFrame(&m)
			if err != nil {
				if err == io.EOF {
					require.Zero(t, unreadBefore, "EOF only between frames")
				}
				return
			}
			require.LessOrEqual(t, unreadBefore-source.Len(), lengthPrefixSize+limit)
			framed, err := appendFrame(nil, &m, 2*limit)
			require.NoError(t, err)
			roundTripReader := frameReader{source: bytes.NewReader(framed), maxSize: 2 * limit}
			require.NoError(t, roundTripReader.readFrame(&roundTripped))
			require.True(t, proto.Equal(&m, &roundTripped))
		}
	})
}
