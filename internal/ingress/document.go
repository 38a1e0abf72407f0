package ingress

import (
	"bytes"
	"cmp"
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"bluebellhold/id"
	"bluebellhold/internal/entry"
	"bluebellhold/internal/wire"
	"bluebellhold/store"
)

const (
	// lastRow is the first row of the last good document; the rows of its other parts have the part's number appended.
	lastRow = "last"
	// maxLastRowBytes bounds a row. A part of maxPartBytes fits into it in base64, with the other fields.
	maxLastRowBytes = 64 << 10
	maxPartBytes    = 47 << 10
	// maxParts bounds the rows of one document, and with maxUnpackedBytes its size.
	maxParts = 24
	// minDocumentPause and maxDocumentPause bound the time between two looks at the kept document while the operator's is
	// rejected. It doubles from one to the other, so that a document which replaces a kept one is noticed within seconds
	// and a long rejection causes few calls.
	minDocumentPause = time.Second
	maxDocumentPause = 32 * time.Second
	// maxMissingPause bounds that time while the instance has no configuration or could not keep the document.
	maxMissingPause = 4 * time.Second
	// maxKnownRejections bounds the digests of rejected documents that are remembered.
	maxKnownRejections = 64
	// sealLabel separates the seals of kept documents from other uses of the fleet's secret.
	sealLabel = "bluebellhold document"
)

// DocumentError reports a document of the operator that can't be read, and why.
type DocumentError struct {
	// Version is that of the document, or zero if it can't be read either.
	Version  uint64
	Resource string
	Field    string
	Value    string
	// Allowed describes the values that the field may have.
	Allowed string
}

// Error returns the resource, the field, its value and what is allowed.
func (e *DocumentError) Error() string {
	return "ingress: " + e.Resource + ": " + e.Field + " is " + strconv.Quote(e.Value) + ", allowed: " + e.Allowed
}

// rejection is the newest document of the operator while it can't be read.
type rejection struct {
	digest id.Digest
	// seen is the version of its row.
	seen  uint64
	cause *DocumentError
}

// documents are the last readable document and the rejected one that follows it, if any.
type documents struct {
	counter metrics.Counter
	// wake signals a rejection.
	wake chan struct{}

	// mu guards the fields below. It is held while a document is posted, so that a kept one never follows a newer one.
	mu sync.Mutex
	// last is the document in force; hasLast is false before there is one.
	last    lastDocument
	hasLast bool
	// isFallback is set while the document in force is one that was kept in the store.
	isFallback bool
	rejection  *rejection
	// known are the digests of the documents rejected since the last readable one.
	known map[id.Digest]bool
}

func newDocuments(r metrics.Registry) *documents {
	return &documents{
		counter: metrics.NewRegisteredCounter("operator.rejected", r), wake: make(chan struct{}, 1),
		known: make(map[id.Digest]bool),
	}
}

// rejected returns the rejection of the newest document, or nil, and whether the instance needs a kept document.
func (d *documents) rejected() (r *rejection, needsKept bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.rejection, !d.hasLast || d.isFallback
}

// documentDump is the JSON of the rejected document.
type documentDump struct {
	Version  uint64 `json:"version"`
	Resource string `json:"resource"`
	Field    string `json:"field"`
	Value    string `json:"value"`
	Allowed  string `json:"allowed"`
}

// dump returns the rejected document, or nil, and whether the document in force was kept in the store.
func (d *documents) dump() (rejected *documentDump, isFallback bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.rejection == nil {
		return nil, d.isFallback
	}
	dump := documentDump(*d.rejection.cause)
	return &dump, d.isFallback
}

// inForce describes the version in force for the log. The caller holds mu.
func (d *documents) inForce() string {
	if !d.hasLast {
		return "none"
	}
	return strconv.FormatUint(d.last.version, 10)
}

// rejectDocument reports a document that can't be read, once for each one, and starts to keep the last good one.
func (f *follower) rejectDocument(change store.Change, cause *DocumentError) {
	d := f.documents
	d.mu.Lock()
	defer d.mu.Unlock()
	digest := id.DigestOf(change.Value)
	d.rejection = &rejection{digest: digest, seen: change.Version, cause: cause}
	select {
	case d.wake <- struct{}{}:
	default:
		// A rejection is already signalled.
	}
	if d.known[digest] {
		return
	}
	if len(d.known) >= maxKnownRejections {
		clear(d.known)
	}
	d.known[digest] = true
	d.counter.Inc(1)
	f.log.Error("operator: document rejected", "version", cause.Version, "resource", cause.Resource, "field", cause.Field,
		"value", cause.Value, "allowed", cause.Allowed, "current", d.inForce())
}

// applyDocument posts a document. One that is older than the last one, from an older copy of the store, changes nothing.
func (f *follower) applyDocument(row store.Change, document Document) {
	d := f.documents
	d.mu.Lock()
	defer d.mu.Unlock()
	version := document.Configuration.Version
	d.rejection = nil
	clear(d.known)
	if d.hasLast && version < d.last.version {
		f.log.Warn("operator: older configuration ignored", "version", version, "current", d.last.version)
		return
	}
	if !d.hasLast || version > d.last.version {
		d.last = lastDocument{row: row.Name, value: row.Value, version: version}
	}
	d.hasLast, d.isFallback = true, false
	f.Post(entry.ConfigurationChanged(document))
	f.log.Info("operator: configuration", "version", version)
}

// applyLast posts a document that was kept in the store, unless a readable one has arrived or a newer one is in force.
func (f *follower) applyLast(kept lastDocument) error {
	row, err := f.config.RowDecoder.DecodeOperatorRow(kept.row, kept.value)
	if err != nil {
		return err
	}
	document, ok := row.(Document)
	if !ok || document.Configuration.Version != kept.version {
		return &LastDocumentError{Row: lastRow, Reason: "another version or row than named"}
	}
	d := f.documents
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.rejection == nil || d.hasLast && kept.version <= d.last.version:
		return nil
	case !d.hasLast && kept.cause != d.rejection.digest:
		// Readable documents may have come between the two rejected ones and have withdrawn keys.
		return &LastDocumentError{Row: lastRow, Reason: "kept for another rejected document"}
	}
	d.last, d.hasLast, d.isFallback = kept, true, true
	f.Post(entry.ConfigurationChanged(document))
	f.log.Warn("operator: last good document in force", "version", kept.version, "rejected", d.rejection.cause.Version,
		"error", d.rejection.cause)
	return nil
}

// documentKeeper reads and writes the last good document while the operator's newest one is rejected.
type documentKeeper struct {
	*follower
	rows *store.Mirror
	// ignored and failed are the last reasons that were logged.
	ignored, failed string
}

// keepDocuments looks after the last good document. It makes no calls unless a document is rejected.
func (f *follower) keepDocuments(ctx context.Context) {
	k := documentKeeper{follower: f, rows: store.NewMirror(f.config.Feed, f.config.Tables.Documents)}
	pause := minDocumentPause
	for {
		var due <-chan time.Time
		if r, _ := f.documents.rejected(); r != nil {
			due = time.After(pause)
		}
		select {
		case <-f.documents.wake:
			pause = minDocumentPause
		case <-due:
		case <-ctx.Done():
			return
		}
		isDone := k.check(ctx)
		if ctx.Err() != nil {
			return
		}
		if isDone {
			pause = min(2*pause, maxDocumentPause)
		} else {
			pause = min(2*pause, maxMissingPause)
		}
	}
}

// check reads the kept document if this instance needs it, and writes it if this instance is a coordinator. It reports
// whether there is nothing left to do for now.
func (k *documentKeeper) check(ctx context.Context) bool {
	r, needsKept := k.documents.rejected()
	if r == nil {
		return true
	}
	k.mu.Lock()
	isCoordinator := k.state.IsCoordinator()
	k.mu.Unlock()
	if !needsKept && !isCoordinator {
		// It may become the coordinator.
		return false
	}
	err := k.sync(ctx, r, isCoordinator)
	switch {
	case err == nil:
		k.failed = ""
		k.documents.mu.Lock()
		defer k.documents.mu.Unlock()
		return k.documents.hasLast
	case errors.As(err, new(*store.ConflictError)):
		// Another coordinator has written the row.
	case err.Error() != k.failed && ctx.Err() == nil:
		k.failed = err.Error()
		k.log.Warn("operator: last good document can't be read or kept", "error", err)
	}
	return false
}

// sync applies the kept document if it is to be used, and replaces it if it is outdated or can't be used.
func (k *documentKeeper) sync(ctx context.Context, r *rejection, isCoordinator bool) error {
	row, err := k.findSecret(ctx)
	if err != nil {
		return err
	}
	if len(row.Value) == 0 {
		return &LastDocumentError{Row: secretRow, Reason: "no secret yet"}
	}
	if _, err := k.rows.Refresh(ctx, 0); err != nil {
		return err
	}
	kept, err := decodeLast(row.Value, k.rows.Rows())
	isUsable := err == nil && kept != nil
	if isUsable {
		err = k.applyLast(*kept)
	}
	if err != nil {
		k.logIgnored(err)
	}
	if !isCoordinator {
		return nil
	}
	k.documents.mu.Lock()
	last, hasLast, current := k.documents.last, k.documents.hasLast, k.documents.rejection
	k.documents.mu.Unlock()
	if !hasLast || current == nil || current.digest != r.digest {
		return nil
	}
	last.cause, last.seen = r.digest, r.seen
	if isUsable && (kept.compare(last) >= 0 || kept.version == last.version && kept.cause == last.cause) {
		return nil
	}
	return k.write(ctx, row.Value, last)
}

// logIgnored logs why the kept document is not used, once for each row and reason.
func (k *documentKeeper) logIgnored(err error) {
	reason := strconv.FormatUint(k.rows.RowVersion(lastRow), 10) + err.Error()
	if reason == k.ignored {
		return
	}
	k.ignored = reason
	k.log.Warn("operator: kept document ignored", "error", err)
}

// write writes the rows of a document, the first one last: it makes the others count. A row of a newer document stays.
func (k *documentKeeper) write(ctx context.Context, secret []byte, last lastDocument) error {
	rows, err := encodeLast(secret, last)
	if err != nil {
		return err
	}
	for i := len(rows) - 1; i >= 0; i-- {
		name := lastRowName(i)
		present, ok := k.rows.Rows()[name]
		if ok {
			part, err := decodePart(secret, present)
			if err == nil && part.compare(last) > 0 {
				return nil
			}
		}
		if err := k.config.Feed.Put(ctx, k.config.Tables.Documents, name, rows[i], present.Version); err != nil {
			return err
		}
	}
	k.log.Info("operator: last good document kept", "version", last.version, "rows", len(rows))
	return nil
}

// lastDocument is a readable document as the operator wrote it.
type lastDocument struct {
	// row is the name of the operator's row.
	row     string
	value   []byte
	version uint64
	// cause is the digest of the rejected document for which this one was kept, and seen the version of its row.
	cause id.Digest
	seen  uint64
}

// compare orders kept documents: the newer document wins, then the one kept for the newer rejection.
func (d lastDocument) compare(other lastDocument) int {
	return cmp.Or(cmp.Compare(d.version, other.version), cmp.Compare(d.seen, other.seen))
}

// partRow is the JSON of a row of the last good document.
type partRow struct {
	Version uint64 `json:"version"`
	// Part is the number of the part of Parts.
	Part  int `json:"part"`
	Parts int `json:"parts"`
	// Digest is that of all parts together.
	Digest id.Digest `json:"digest"`
	// Cause is the digest of the rejected document, and Seen the version of its row.
	Cause id.Digest `json:"cause"`
	Seen  uint64    `json:"seen"`
	Body  []byte    `json:"body"`
	// Seal proves that an instance of the fleet wrote the row. It covers the row without the seal, which must stay the last
	// field.
	Seal []byte `json:"seal,omitempty"`
}

func (p partRow) compare(other lastDocument) int {
	return lastDocument{version: p.Version, seen: p.Seen}.compare(other)
}

// sealOf returns the seal of a row that has none yet.
func sealOf(secret, row []byte) []byte {
	mac := hmac.New(sha256.New, secret)
	mac.Write([]byte(sealLabel))
	mac.Write(row)
	return mac.Sum(nil)
}

// withoutSeal returns the row as it was before it was sealed. Fields that this release does not know stay in it.
func withoutSeal(row, seal []byte) []byte {
	end := `,"seal":"` + base64.StdEncoding.EncodeToString(seal) + `"}`
	return slices.Concat(bytes.TrimSuffix(row, []byte(end)), []byte{'}'})
}

func lastRowName(part int) string {
	if part == 0 {
		return lastRow
	}
	return lastRow + strconv.Itoa(part)
}

// encodeLast returns the rows of a document. It returns a SizeError if the document is too large to be kept.
func encodeLast(secret []byte, d lastDocument) ([][]byte, error) {
	compressed, err := compressMessage(&wire.Row{Name: d.row, Version: d.version, Value: d.value})
	if err != nil {
		return nil, err
	}
	count := max((len(compressed)+maxPartBytes-1)/maxPartBytes, 1)
	// The other fields of the message take far less than a part.
	if count > maxParts || len(d.value) > maxUnpackedBytes-maxPartBytes {
		return nil, &SizeError{Limit: maxUnpackedBytes}
	}
	rows := make([][]byte, count)
	for i := range rows {
		part := partRow{
			Version: d.version, Part: i, Parts: count, Digest: id.DigestOf(compressed), Cause: d.cause, Seen: d.seen,
			Body: compressed[i*maxPartBytes : min((i+1)*maxPartBytes, len(compressed))],
		}
		body, err := json.Marshal(part)
		if err != nil {
			return nil, err
		}
		part.Seal = sealOf(secret, body)
		if rows[i], err = json.Marshal(part); err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// decodePart decodes a row and checks its seal.
func decodePart(secret []byte, row store.Change) (partRow, error) {
	var part partRow
	if len(row.Value) > maxLastRowBytes {
		return part, &LastDocumentError{Row: row.Name, Reason: "too large"}
	}
	if err := json.Unmarshal(row.Value, &part); err != nil {
		return part, &LastDocumentError{Row: row.Name, Reason: "damaged: " + err.Error()}
	}
	if !hmac.Equal(sealOf(secret, withoutSeal(row.Value, part.Seal)), part.Seal) {
		return part, &LastDocumentError{Row: row.Name, Reason: "not sealed with the fleet's secret"}
	}
	return part, nil
}

// decodeLast returns the kept document, or nil if there is none.
func decodeLast(secret []byte, rows map[string]store.Change) (*lastDocument, error) {
	row, ok := rows[lastRow]
	if !ok {
		return nil, nil
	}
	first, err := decodePart(secret, row)
	if err != nil {
		return nil, err
	}
	if first.Parts < 1 || first.Parts > maxParts {
		return nil, &LastDocumentError{Row: lastRow, Reason: "too many parts"}
	}
	var compressed []byte
	for i := range first.Parts {
		name := lastRowName(i)
		part, err := decodePart(secret, rows[name])
		if err != nil {
			return nil, &LastDocumentError{Row: name, Reason: "part missing or damaged"}
		}
		if part.Part != i || part.Digest != first.Digest {
			return nil, &LastDocumentError{Row: name, Reason: "part of another document"}
		}
		compressed = append(compressed, part.Body...)
	}
	if id.DigestOf(compressed) != first.Digest {
		return nil, &LastDocumentError{Row: lastRow, Reason: "parts differ from the digest"}
	}
	var message wire.Row
	if err := decompressMessage(compressed, &message); err != nil {
		return nil, err
	}
	return &lastDocument{
		row: message.GetName(), value: message.GetValue(), version: first.Version, cause: first.Cause, seen: first.Seen,
	}, nil
}

// LastDocumentError reports a row of the last good document that can't be used.
type LastDocumentError struct {
	Row    string
	Reason string
}

// Error returns the row and the reason.
func (e *LastDocumentError) Error() string { return "ingress: row " + e.Row + ": " + e.Reason }
