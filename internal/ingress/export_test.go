package ingress

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/memory"
	"bluebellhold/internal/tcp"
	"bluebellhold/internal/wire"
	"bluebellhold/logwriter"
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

// DecodeHeartbeat and DecodeGroup give tests access to the codecs of rows, and SealOf to the seal of a last good document.
var (
	DecodeHeartbeat = decodeHeartbeat
	DecodeGroup     = decodeGroup
	SealOf          = sealOf
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

// ReadAndFail reads the table and records the failure of a call that followed.
func (r Relay) ReadAndFail() error {
	changes, err := r.table.mirror.Refresh(context.Background(), 0)
	r.table.takeFollowers(changes)
	return err
}

// UpdatesFor returns the messages for a member that has got all changes up to the version after.
func (r Relay) UpdatesFor(member id.Instance, after uint64) []*wire.RowsUpdate {
	r.table.follow(member, after)
	return r.table.updatesFor(member, time.Now(), 1)
}

// SplitUpdate is splitUpdate.
var SplitUpdate = splitUpdate

// PartialUpdate gives tests access to an update that arrives in parts.
type PartialUpdate struct{ partial partialUpdate }

// Add is partialUpdate.add.
func (p *PartialUpdate) Add(from id.Instance, part *wire.RowsPart) (*wire.RowsUpdate, bool) {
	return p.partial.add(from, part)
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
	logs := logwriter.New(logwriter.Config{Output: io.Discard})
	defer logs.Close(time.Now().Add(time.Second))
	i := &Instance{
		config: Config{HeaderCodec: codec}, pool: newPool(registry), requestLog: newRequestLog(logs),
		memory: memory.New(answerMemory, registry),
	}
	x := &exchange{Instance: i, r: r, callerHeaders: codec.ParseCallerHeaders(r.Header)}
	c := newUpstreamConnection(conn)
	c.requests = carried + 1
	outcome, _ = x.readOutcome(c, time.Now())
	if _, isAnswered := outcome.(entry.Answered); isAnswered {
		var b bytes.Buffer
		// Writing to a buffer never fails.
		_, _ = x.response.body.WriteTo(&b)
		return outcome, x.response.status, b.Bytes()
	}
	return outcome, 0, nil
}

// answerMemory is the memory for the answers of ReadAnswer.
const answerMemory = id.Bytes(64 << 20)

// Transport is the transport of sessions.
type Transport = transport

// Offline is an instance without sockets, which follows the store.
type Offline struct{ follower *follower }

// NewOffline returns an instance without sockets.
func NewOffline(c Config) Offline { return Offline{newFollower(newInstance(c))} }

// Follow follows the store, with the given sessions with other instances, until ctx ends.
func (o Offline) Follow(ctx context.Context, t Transport) {
	f := o.follower
	f.sessions.open(t)
	f.followTables(ctx)
	f.tick()
	<-ctx.Done()
	f.close()
	f.goroutines.Wait()
}

// Deliver handles a message of another instance.
func (o Offline) Deliver(from id.Instance, m *wire.Envelope) { o.follower.handleEnvelope(from, m) }

// OpenSession handles that a session with another instance has opened.
func (o Offline) OpenSession(with id.Instance) { o.follower.Post(entry.SessionOpened{Instance: with}) }

// Version returns the version of the configuration that is in force.
func (o Offline) Version() uint64 {
	o.follower.mu.Lock()
	defer o.follower.mu.Unlock()
	return o.follower.state.Dump(time.Now()).Version
}

// Coordinator returns the instance's coordinator.
func (o Offline) Coordinator() id.Instance { return o.follower.coordinator() }
