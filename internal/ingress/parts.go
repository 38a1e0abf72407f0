package ingress

import (
	"bluebellhold/id"
	"bluebellhold/internal/wire"
)

const (
	// maxPieceBytes is the size of the parts that a large update is sent in. A message of the peers holds four times as much.
	maxPieceBytes = 64 << 10
	// maxPieces bounds the parts of an update. Together they fit into the queue of a session.
	maxPieces = 128
)

// splitUpdate returns the messages that carry an update: the update itself, or the parts of one that is too large for a
// message. The parts share the memory of its packed rows. An update of more than maxPieces can't be sent, and the members are
// told to read the table themselves.
func splitUpdate(u *wire.RowsUpdate) []*wire.Envelope {
	packed := u.GetPacked()
	if len(packed) <= maxPieceBytes {
		return []*wire.Envelope{{Payload: &wire.Envelope_RowsUpdate{RowsUpdate: u}}}
	}
	count := (len(packed) + maxPieceBytes - 1) / maxPieceBytes
	if count > maxPieces {
		return []*wire.Envelope{{Payload: &wire.Envelope_RowsUpdate{RowsUpdate: &wire.RowsUpdate{
			Table: u.GetTable(), Reload: true,
		}}}}
	}
	messages := make([]*wire.Envelope, count)
	for n := range messages {
		piece := packed[n*maxPieceBytes : min((n+1)*maxPieceBytes, len(packed))]
		part := &wire.RowsPart{Table: u.GetTable(), Number: uint32(n), Count: uint32(count), Piece: piece}
		if n == count-1 {
			u.Packed = nil
			part.Update = u
		}
		messages[n] = &wire.Envelope{Payload: &wire.Envelope_RowsPart{RowsPart: part}}
	}
	return messages
}

// partialUpdate is an update of which some parts have arrived.
type partialUpdate struct {
	from   id.Instance
	next   uint32
	count  uint32
	packed []byte
}

// add adds the next part and returns the update once it is whole. A part that is not the next one ends the update: parts are
// sent in order, so that some of them have been lost.
func (p *partialUpdate) add(from id.Instance, part *wire.RowsPart) (u *wire.RowsUpdate, ok bool) {
	if part.GetNumber() == 0 {
		*p = partialUpdate{from: from, count: part.GetCount()}
	}
	if p.from != from || p.next != part.GetNumber() || p.count != part.GetCount() || p.count > maxPieces ||
		len(part.GetPiece()) > maxPieceBytes {
		*p = partialUpdate{}
		return nil, false
	}
	p.packed = append(p.packed, part.GetPiece()...)
	if p.next++; p.next < p.count {
		return nil, true
	}
	u = part.GetUpdate()
	if u != nil {
		u.Packed = p.packed
	}
	*p = partialUpdate{}
	return u, u != nil
}
