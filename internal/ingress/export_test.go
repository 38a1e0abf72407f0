package ingress

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

// DecodeMessage and EncodeMessage give tests access to the codec of messages of other instances, CompressMessage and
// DecompressMessage to that of relayed rows.
var (
	DecodeMessage     = decodeMessage
	EncodeMessage     = encodeMessage
	CompressMessage   = compressMessage
	DecompressMessage = decompressMessage
)

// DecodeHeartbeat and DecodeGroupRow give tests access to the decoders of the instances' own rows.
var (
	DecodeHeartbeat = decodeHeartbeat
	DecodeGroupRow  = decodeGroupRow
)

// Relay gives tests access to what a coordinator remembers of a table.
type Relay struct{ table *relayedTable }

// NewRelay returns the relay of a table that has been read once.
func NewRelay(feed store.ChangeFeed, name string) (Relay, error) {
	r := Relay{newRelayedTable(feed, name)}
	return r, r.Read()
}

// Read reads the table and records the changes.
func (r Relay) Read() error {
	changes, err := r.table.mirror.Refresh(context.Background(), 0)
	if err == nil {
		r.table.recordRead(time.Now(), changes)
	}
	return err
}

// UpdatesFor returns the messages for a member that has got all changes up to the version after.
func (r Relay) UpdatesFor(member id.Instance, after uint64) []*wire.RowsUpdate {
	r.table.follow(member, after)
	return r.table.updatesFor(member, time.Now(), 1)
}

// Held returns the number of changes and of cached messages that the relay holds.
func (r Relay) Held() (changes, messages int) { return len(r.table.log), len(r.table.packed) }

// EncodeLast returns the rows of a last good document, and DecodeLast the version and the document of such rows.
func EncodeLast(secret []byte, version uint64, value string) ([]store.Change, error) {
	return SealLast(secret, "row", []byte(value), version, nil)
}

// SealLast returns the rows of a last good document that is kept for a rejected one.
func SealLast(secret []byte, row string, value []byte, version uint64, rejected []byte) ([]store.Change, error) {
	rows, err := encodeLast(secret, lastDocument{
		row: row, value: value, version: version, cause: id.DigestOf(rejected),
	})
	var changes []store.Change
	for i, row := range rows {
		changes = append(changes, store.Change{Name: lastRowName(i), Value: row})
	}
	return changes, err
}

// DecodeLast is the inverse of EncodeLast.
func DecodeLast(secret []byte, rows []store.Change) (version uint64, value string, err error) {
	byName := make(map[string]store.Change)
	for _, row := range rows {
		byName[row.Name] = row
	}
	last, err := decodeLast(secret, byName)
	if err != nil {
		return 0, "", err
	}
	return last.version, string(last.value), nil
}

// ReadAnswer reads the answer to a request on a connection that has carried a number of other requests. It returns the
// outcome, and the answer that the caller gets unless status is 0.
func ReadAnswer(conn tcp.Conn, codec HeaderCodec, r *http.Request, carried int) (outcome entry.AttemptOutcome, status int, body []byte) {
	registry := metrics.NewRegistry()
	i := &Instance{config: Config{HeaderCodec: codec}, pool: newPool(registry), requestLog: newRequestLog(log.New(io.Discard))}
	defer i.requestLog.close()
	x := &exchange{Instance: i, r: r, callerHeaders: codec.ParseCallerHeaders(r.Header)}
	c := newUpstreamConnection(conn)
	c.requests = carried + 1
	outcome, _ = x.readOutcome(c, time.Now())
	if _, isAnswered := outcome.(entry.Answered); isAnswered {
		return outcome, x.response.status, x.response.body
	}
	return outcome, 0, nil
}
