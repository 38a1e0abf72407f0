package lookup

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/gaissmai/bart"

	"bluebellhold/id"
)

// Block assigns the clients of an IP prefix to a site.
type Block struct {
	Prefix netip.Prefix
	Site   id.Site
}

// Delta is a set of changes to a table. Removals are applied first.
type Delta struct {
	Remove []netip.Prefix
	// Put adds blocks, or replaces the sites of existing ones.
	Put []Block
}

// Table maps client addresses to sites by longest-prefix match.
//
// The zero value is an empty table. A Table is safe for concurrent use.
type Table struct {
	// blocks maps prefixes to site numbers, since a number takes an eighth of the space of a string. At 310,000 blocks
	// bart.Fast takes 33 MiB, bart.Table 18 MiB; only Fast stayed above 2 million look-ups a second on a busy machine.
	blocks *bart.Fast[uint16]
	sites  *siteNumbers
}

func newTable() *Table {
	return &Table{blocks: new(bart.Fast[uint16]), sites: &siteNumbers{numbers: make(map[id.Site]uint16)}}
}

// Build returns a table of blocks. A prefix that is invalid, not masked or present twice is an error.
func Build(blocks []Block) (*Table, error) {
	next := newTable()
	// Inserting in order makes neighbouring blocks share cache lines, which makes Find faster.
	sorted := slices.SortedFunc(slices.Values(blocks), func(x, y Block) int { return x.Prefix.Compare(y.Prefix) })
	for i, b := range sorted {
		if err := validate(b); err != nil {
			return nil, err
		}
		if i > 0 && sorted[i-1].Prefix == b.Prefix {
			return nil, &BlockError{Block: b, Reason: ReasonDuplicate}
		}
		number, updated, err := next.sites.numberFor(b)
		if err != nil {
			return nil, err
		}
		next.sites = updated
		next.blocks.Insert(b.Prefix, number)
	}
	return next, nil
}

// Find returns the site of the longest prefix that contains a; an IPv4 address may be given in its IPv6 form.
func (t *Table) Find(a netip.Addr) (id.Site, bool) {
	if t.blocks == nil {
		return "", false
	}
	number, ok := t.blocks.Lookup(a.Unmap())
	if !ok {
		return "", false
	}
	return t.sites.names[number], true
}

// Len returns the number of blocks.
func (t *Table) Len() int {
	if t.blocks == nil {
		return 0
	}
	return t.blocks.Size()
}

// Apply returns a copy of t with d applied, which shares all unchanged parts with t. It applies all of d or returns an
// error: a removed block must be present, and a prefix must not be put twice.
func (t *Table) Apply(d Delta) (*Table, error) {
	next := &Table{blocks: t.blocks, sites: t.sites}
	if next.blocks == nil {
		next = newTable()
	}
	for _, p := range d.Remove {
		if err := next.remove(p); err != nil {
			return nil, err
		}
	}
	seen := make(map[netip.Prefix]bool, len(d.Put))
	for _, b := range d.Put {
		if err := validate(b); err != nil {
			return nil, err
		}
		if seen[b.Prefix] {
			return nil, &BlockError{Block: b, Reason: ReasonDuplicate}
		}
		seen[b.Prefix] = true
		number, updated, err := next.sites.numberFor(b)
		if err != nil {
			return nil, err
		}
		next.sites = updated
		next.blocks = next.blocks.InsertPersist(b.Prefix, number)
	}
	return next, nil
}

func (t *Table) remove(p netip.Prefix) error {
	if err := validate(Block{Prefix: p}); err != nil {
		return err
	}
	if _, present := t.blocks.Get(p); !present {
		return &BlockError{Block: Block{Prefix: p}, Reason: ReasonAbsent}
	}
	t.blocks = t.blocks.DeletePersist(p)
	return nil
}

// siteNumbers numbers the sites in the order of their first use. It is immutable, and tables share it until one adds a
// site.
type siteNumbers struct {
	names   []id.Site
	numbers map[id.Site]uint16
}

// maxSites is the number of sites that a uint16 can distinguish; 690 are planned for.
const maxSites = 1 << 16

// numberFor returns the number of the block's site; next is s, or a copy with the site added.
func (s *siteNumbers) numberFor(b Block) (number uint16, next *siteNumbers, err error) {
	if number, known := s.numbers[b.Site]; known {
		return number, s, nil
	}
	if len(s.names) == maxSites {
		return 0, s, &BlockError{Block: b, Reason: ReasonTooManySites}
	}
	next = &siteNumbers{names: append(slices.Clone(s.names), b.Site), numbers: maps.Clone(s.numbers)}
	next.numbers[b.Site] = uint16(len(s.names))
	return next.numbers[b.Site], next, nil
}
