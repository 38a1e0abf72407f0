package lookup

// Reason is the reason why a block is rejected.
type Reason string

// The reasons of a BlockError.
const (
	ReasonInvalid      Reason = "is not a valid prefix"
	ReasonUnmasked     Reason = "has bits set beyond its length"
	ReasonIPv4Mapped   Reason = "is an IPv4 prefix in IPv6 form"
	ReasonDuplicate    Reason = "is given twice"
	ReasonAbsent       Reason = "is not in the table"
	ReasonTooManySites Reason = "needs one more site than the table can hold"
)

// BlockError reports a block that Build or Apply rejects.
type BlockError struct {
	Block  Block
	Reason Reason
}

// Error names the block and the reason.
func (e *BlockError) Error() string {
	return "lookup: block " + e.Block.Prefix.String() + " " + string(e.Reason)
}

// validate rejects prefixes that could not be looked up or removed in the form in which they are given.
func validate(b Block) error {
	switch {
	case !b.Prefix.IsValid():
		return &BlockError{Block: b, Reason: ReasonInvalid}
	case b.Prefix != b.Prefix.Masked():
		return &BlockError{Block: b, Reason: ReasonUnmasked}
	case b.Prefix.Addr().Is4In6():
		return &BlockError{Block: b, Reason: ReasonIPv4Mapped}
	}
	return nil
}
