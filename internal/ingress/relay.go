package ingress

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

const (
	// maxLoggedChanges bounds the rows whose latest changes are kept for members which start to follow the table.
	maxLoggedChanges = 4096
	// maxPackedUpdates and maxPackedBytes bound the compressed updates that are cached: members that have kept up need one.
	maxPackedUpdates = 64
	maxPackedBytes   = 4 << 20
	// maxUpdateBytes bounds the rows in one message, so that it does not delay others.
	maxUpdateBytes = 96 << 10
	// updateQueueLength is the number of updates that may wait while a table is read.
	updateQueueLength = 64
	// relayMargin is how much older a relayed view of a table may become than one that is read from the store: the age
	// of the stamp that it is measured with, and the way between two data centres.
	relayMargin = 700 * time.Millisecond
)

// relayedTable is a table of the store that the coordinator of a group reads and passes on to the members.
//
// Reading is safe for anybody at any time, so no agreement on the coordinator is needed: a member that does not get a
// fresh view reads the store itself.
type relayedTable struct {
	name   string
	mirror *store.Mirror
	// updates are passed to the goroutine that uses mirror.
	updates chan rowsUpdate
	// changed wakes that goroutine after a change of the coordinator.
	changed chan struct{}
	// sending is held while the messages for one follower are sent, so that their order is that of the versions.
	sending sync.Mutex
	// freshAt is as of when the view is complete. Only that goroutine uses it.
	freshAt time.Time

	// mu guards the fields below.
	mu sync.Mutex
	// log holds the latest relevant change after logStart of each row, up to version.
	log               map[string]store.Change
	logStart, version uint64
	// readAt is when the last successful read started, and isLost is set after a failed one.
	readAt time.Time
	isLost bool
	// relayedAt is as of when the coordinator's latest update is complete.
	relayedAt time.Time
	// followers holds the version that each follower has got.
	followers map[id.Instance]uint64
	// packed caches the compressed rows of updates up to version by the version that they follow.
	packed map[uint64][]byte
	// partial is the update that arrives in parts.
	partial partialUpdate
}

// rowsUpdate is a received RowsUpdate.
type rowsUpdate struct {
	after    uint64
	changes  store.ChangeSet
	freshAt  time.Time
	isReload bool
}

func newRelayedTable(feed store.ChangeFeed, name string) *relayedTable {
	return &relayedTable{
		name: name, mirror: store.NewMirror(feed, name), updates: make(chan rowsUpdate, updateQueueLength),
		changed: make(chan struct{}, 1), log: make(map[string]store.Change), followers: make(map[id.Instance]uint64),
		packed: make(map[uint64][]byte),
	}
}

// refresh records that the view is complete as of a time.
func (t *relayedTable) refresh(at time.Time) {
	if at.After(t.freshAt) {
		t.freshAt = at
	}
}

// recordRead records the relevant changes that a read or an update returned. The caller has applied them to the mirror.
func (t *relayedTable) recordRead(readAt time.Time, relevant []store.Change) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.version == 0 {
		t.logStart = t.mirror.Version()
		relevant = nil
	}
	t.readAt, t.isLost = readAt, false
	t.logChanges(relevant)
}

// logChanges logs the relevant changes that lead to the version of the mirror. The caller holds mu.
func (t *relayedTable) logChanges(relevant []store.Change) {
	t.version = t.mirror.Version()
	for _, change := range relevant {
		t.log[change.Name] = change
	}
	clear(t.packed)
	if excess := len(t.log) - maxLoggedChanges; excess > 0 {
		for _, change := range t.changesAfter(0)[:excess] {
			t.logStart = max(t.logStart, change.Version)
			delete(t.log, change.Name)
		}
	}
}

// changesAfter returns the logged changes after a version, the oldest first. The caller holds mu.
func (t *relayedTable) changesAfter(version uint64) []store.Change {
	var changes []store.Change
	for _, change := range t.log {
		if change.Version > version {
			changes = append(changes, change)
		}
	}
	slices.SortFunc(changes, func(a, b store.Change) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Name, b.Name))
	})
	return changes
}

// takeFollowers records that the table can't be read and returns its followers, which have to read it themselves. A read
// that has failed may have applied changes to the mirror before; relevant are those that matter to followers.
func (t *relayedTable) takeFollowers(relevant []store.Change) []id.Instance {
	names := t.followerNames()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isLost = true
	if t.version > 0 {
		t.logChanges(relevant)
	}
	clear(t.followers)
	return names
}

// follow registers a follower that has got all changes up to the version after.
func (t *relayedTable) follow(follower id.Instance, after uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.followers[follower] = after
}

func (t *relayedTable) unfollow(follower id.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.followers, follower)
}

func (t *relayedTable) followerNames() []id.Instance {
	t.mu.Lock()
	defer t.mu.Unlock()
	names := make([]id.Instance, 0, len(t.followers))
	for name := range t.followers {
		names = append(names, name)
	}
	return names
}

// updatesFor returns the messages that bring a follower up to date, at least one. It returns none before the table has
// been read.
func (t *relayedTable) updatesFor(follower id.Instance, now time.Time, echo entry.Stamp) []*wire.RowsUpdate {
	t.mu.Lock()
	defer t.mu.Unlock()
	after, ok := t.followers[follower]
	if !ok || t.version == 0 {
		return nil
	}
	if after < t.logStart || t.isLost {
		delete(t.followers, follower)
		return []*wire.RowsUpdate{{Table: t.name, Reload: true}}
	}
	changes := t.changesAfter(after)
	var updates []*wire.RowsUpdate
	next := &wire.RowsUpdate{Table: t.name, After: after}
	bytes := 0
	for i, change := range changes {
		next.Rows = append(next.Rows, &wire.Row{
			Name: change.Name, Version: change.Version, Value: change.Value, Deleted: change.Deleted,
		})
		bytes += len(change.Name) + len(change.Value)
		// Rows that were written together stay together.
		if bytes >= maxUpdateBytes && i+1 < len(changes) && changes[i+1].Version != change.Version {
			next.Version = change.Version
			t.pack(next)
			updates = append(updates, next)
			next, bytes = &wire.RowsUpdate{Table: t.name, After: change.Version}, 0
		}
	}
	t.pack(next)
	next.Version, next.Age, next.Echo = max(t.version, after), int64(now.Sub(t.readAt)), int64(echo)
	t.followers[follower] = next.Version
	return append(updates, next)
}

// minPackedBytes is the size of the rows from which compressing them pays.
const minPackedBytes = 1 << 10

// pack compresses the rows of an update. Most followers get the same rows, so these are compressed once. The caller
// holds mu.
func (t *relayedTable) pack(u *wire.RowsUpdate) {
	rows := &wire.RowsUpdate{Rows: u.GetRows()}
	if proto.Size(rows) < minPackedBytes {
		return
	}
	packed, ok := t.packed[u.GetAfter()]
	if !ok {
		var err error
		if packed, err = compressMessage(rows); err != nil {
			// The rows are sent as they are.
			return
		}
		if t.hasRoomFor(packed) {
			t.packed[u.GetAfter()] = packed
		}
	}
	u.Rows, u.Packed = nil, packed
}

// hasRoomFor reports whether another compressed update may be cached. The caller holds mu.
func (t *relayedTable) hasRoomFor(packed []byte) bool {
	bytes := len(packed)
	for _, other := range t.packed {
		bytes += len(other)
	}
	return len(t.packed) < maxPackedUpdates && (len(t.packed) == 0 || bytes <= maxPackedBytes)
}

// publish sends what the followers have not got yet.
func (f *follower) publish(t *relayedTable) {
	for _, name := range t.followerNames() {
		f.sendUpdates(t, name)
	}
}

// dismissFollowers makes the members read a table themselves while this instance can't read it.
func (f *follower) dismissFollowers(t *relayedTable, relevant []store.Change) {
	for _, name := range t.takeFollowers(relevant) {
		f.sessions.send(name, &wire.Envelope{Payload: &wire.Envelope_RowsUpdate{RowsUpdate: &wire.RowsUpdate{
			Table: t.name, Reload: true,
		}}})
	}
}

func (f *follower) sendUpdates(t *relayedTable, name id.Instance) {
	t.sending.Lock()
	defer t.sending.Unlock()
	echo, ok := f.reportStamp(name)
	if !ok {
		t.unfollow(name)
		return
	}
	for _, update := range t.updatesFor(name, time.Now(), echo) {
		for _, message := range splitUpdate(update) {
			f.sessions.send(name, message)
		}
	}
}

func (i *Instance) reportStamp(name id.Instance) (entry.Stamp, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.ReportStamp(name)
}

func (i *Instance) coordinator() id.Instance {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.state.Coordinator()
}

// relaySource returns the coordinator that this instance follows, or an empty name if it reads the store itself.
func (i *Instance) relaySource() id.Instance {
	if c := i.coordinator(); c != i.config.Instance {
		return c
	}
	return ""
}

// requestRows asks the coordinator for the changes after this instance's view.
func (f *follower) requestRows(t *relayedTable) {
	if source := f.relaySource(); source != "" && t.mirror.IsLoaded() {
		f.sessions.send(source, &wire.Envelope{Payload: &wire.Envelope_RowsRequest{RowsRequest: &wire.RowsRequest{
			Table: t.name, After: t.mirror.Version(),
		}}})
	}
}

// handleRowsRequest answers a member's request for rows.
func (f *follower) handleRowsRequest(from id.Instance, r *wire.RowsRequest) {
	if t := f.tables[r.GetTable()]; t != nil {
		t.follow(from, r.GetAfter())
		f.sendUpdates(t, from)
	}
}

// handleRowsPart collects the parts of an update and handles it once it is whole. A member that has lost some notices the gap
// at the next update.
func (f *follower) handleRowsPart(from id.Instance, part *wire.RowsPart) {
	t := f.tables[part.GetTable()]
	if t == nil || from != f.relaySource() {
		return
	}
	t.mu.Lock()
	update, ok := t.partial.add(from, part)
	t.mu.Unlock()
	if !ok {
		f.log.Warn("relay: a part of an update is missing", "table", t.name, "from", from, "part", part.GetNumber())
		return
	}
	if update != nil {
		f.handleRowsUpdate(from, update)
	}
}

// handleRowsUpdate passes an update to the goroutine that uses the table's mirror. An update that finds the queue full
// is dropped; the gap is noticed at the next one. After one that can't be read, the member reads the store itself.
func (f *follower) handleRowsUpdate(from id.Instance, u *wire.RowsUpdate) {
	t := f.tables[u.GetTable()]
	if t == nil || from != f.relaySource() {
		return
	}
	update := rowsUpdate{
		after: u.GetAfter(), isReload: u.GetReload(), changes: store.ChangeSet{Version: u.GetVersion()},
	}
	rows := u.GetRows()
	if len(u.GetPacked()) > 0 {
		var unpacked wire.RowsUpdate
		if err := decompressMessage(u.GetPacked(), &unpacked); err != nil {
			f.log.Warn("relay: an update can't be decompressed", "table", t.name, "from", from, "error", err)
			update.isReload = true
		}
		rows = unpacked.GetRows()
	}
	for _, r := range rows {
		update.changes.Rows = append(update.changes.Rows, store.Change{
			Name: r.GetName(), Version: r.GetVersion(), Value: r.GetValue(), Deleted: r.GetDeleted(),
		})
	}
	f.mu.Lock()
	at, ok := f.state.TimeOf(time.Now(), entry.Stamp(u.GetEcho()))
	f.mu.Unlock()
	if ok && u.GetAge() >= 0 {
		update.freshAt = at.Add(-time.Duration(u.GetAge()))
	}
	select {
	case t.updates <- update:
	default:
		f.log.Warn("relay: update dropped, too many are waiting", "table", t.name)
	}
}

// applyUpdate applies a relayed update. After a gap it asks for the missing changes.
func (f *follower) applyUpdate(t *relayedTable, u rowsUpdate, apply func([]store.Change) []store.Change) {
	if u.isReload {
		t.freshAt = time.Time{}
		return
	}
	changes, ok := t.mirror.Apply(u.after, u.changes)
	if !ok {
		f.requestRows(t)
		return
	}
	t.refresh(u.freshAt)
	t.mu.Lock()
	t.relayedAt = latestOf(t.relayedAt, u.freshAt)
	t.mu.Unlock()
	t.recordRead(t.freshAt, apply(changes))
	f.publish(t)
}

// wakeTables makes all tables notice a change of the coordinator.
func (i *Instance) wakeTables() {
	for _, t := range i.tables {
		select {
		case t.changed <- struct{}{}:
		default:
			// A change is already signalled.
		}
	}
}
