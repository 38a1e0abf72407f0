package note

import (
	"crypto/subtle"
	"net/netip"
	"slices"
	"sort"
	"strings"

	"bluebellhold/id"
	"bluebellhold/lookup"
)

// Compiled is a Configuration with the indexes for request processing.
//
// It is immutable and safe for concurrent use.
type Compiled struct {
	Configuration
	keysByDigest   map[id.Digest]keyOwner
	routesByLength map[id.Service][]Route
	clientBlocks   *lookup.Table
}

type keyOwner struct {
	key          id.Key
	organisation id.Organisation
	digest       id.Digest
}

// Compile builds the indexes of c.
func Compile(c Configuration) *Compiled {
	out := &Compiled{
		Configuration:  c,
		keysByDigest:   make(map[id.Digest]keyOwner, len(c.Keys)),
		routesByLength: make(map[id.Service][]Route, len(c.Services)),
	}
	for name, key := range c.Keys {
		out.keysByDigest[key.Digest] = keyOwner{key: name, organisation: key.Organisation, digest: key.Digest}
	}
	for name, service := range c.Services {
		routes := slices.Clone(service.Routes)
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Path) > len(routes[j].Path) })
		out.routesByLength[name] = routes
	}
	out.clientBlocks = buildClientBlocks(c.Blocks)
	return out
}

// buildClientBlocks builds the lookup table of client blocks. Apply and Decode have already validated the prefixes.
func buildClientBlocks(blocks map[string]id.Site) *lookup.Table {
	entries := make([]lookup.Block, 0, len(blocks))
	for text, site := range blocks {
		if prefix, err := netip.ParsePrefix(text); err == nil {
			entries = append(entries, lookup.Block{Prefix: prefix, Site: site})
		}
	}
	table, err := lookup.Build(entries)
	if err != nil {
		panic("note: a checked configuration has a wrong client block: " + err.Error())
	}
	return table
}

// ClientRegion returns the region of the site that the client's address block is assigned to.
func (c *Compiled) ClientRegion(client netip.Addr) (id.Region, bool) {
	name, ok := c.clientBlocks.Find(client)
	if !ok {
		return "", false
	}
	site, ok := c.Sites[name]
	return site.Region, ok
}

// LookupKey returns the key with the given digest of its secret, and the key's organisation.
func (c *Compiled) LookupKey(digest id.Digest) (id.Key, id.Organisation, bool) {
	owner, ok := c.keysByDigest[digest]
	if !ok || subtle.ConstantTimeCompare(owner.digest[:], digest[:]) != 1 {
		return "", "", false
	}
	return owner.key, owner.organisation, true
}

// MatchRoute returns the matching route of a service with the longest path prefix.
//
// A prefix matches whole path segments only: "/draws" matches "/draws" and "/draws/7" but not "/drawsheet".
func (c *Compiled) MatchRoute(service id.Service, method, path string) (Route, bool) {
	for _, r := range c.routesByLength[service] {
		if hasPathPrefix(path, string(r.Path)) && (len(r.Methods) == 0 || slices.Contains(r.Methods, method)) {
			return r, true
		}
	}
	return Route{}, false
}

func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return strings.HasPrefix(path, prefix) && (len(path) == len(prefix) || path[len(prefix)] == '/')
}
