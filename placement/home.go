package placement

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"bluebellhold/id"
)

// hashText hashes a name once, so that scoring a pair costs a few instructions.
func hashText(text string) uint64 {
	return xxhash.Sum64String(text)
}

// mix combines two hashes into one that looks independent of both.
func mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + a<<6 + a>>2)
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// score ranks an upstream for an object by weighted rendezvous hashing; the highest score is the home.
func score(object, upstream uint64, slots id.Slots) float64 {
	unit := (float64(mix(object, upstream)>>11) + 0.5) / (1 << 53)
	return -float64(max(slots, 1)) / math.Log(unit)
}
