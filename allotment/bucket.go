package allotment

import (
	"math"
	"time"

	"bluebellhold/id"
)

// TokenBucket limits a rate with a burst. It starts empty.
//
// Within any time t it gives at most depth + t * rate tokens. The bound also holds for a sequence of buckets that
// replace each other and for buckets that divide one limit, as long as rates and depths add up to it, since a new bucket
// assumes nothing about what its predecessor has given out. The zero value gives no tokens.
type TokenBucket struct {
	rate      id.TokensPerSecond
	depth     id.Tokens
	level     id.Tokens
	updatedAt time.Time
}

// SetLimit changes the rate and the depth; tokens above the new depth are lost.
func (b *TokenBucket) SetLimit(now time.Time, rate id.TokensPerSecond, depth id.Tokens) {
	b.refill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// Take removes up to n whole tokens and returns how many.
func (b *TokenBucket) Take(now time.Time, n int) int {
	b.refill(now)
	taken := max(min(n, int(math.Floor(float64(b.level)+levelEpsilon))), 0)
	b.level -= id.Tokens(taken)
	return taken
}

// levelEpsilon hides the rounding of the level, which would otherwise delay a whole token to the next refill.
const levelEpsilon = 1e-9

// Return adds tokens that were taken and not used, up to the depth.
func (b *TokenBucket) Return(now time.Time, n int) {
	b.refill(now)
	b.level = min(b.level+id.Tokens(n), b.depth)
}

// Drain removes all tokens.
func (b *TokenBucket) Drain(now time.Time) {
	b.refill(now)
	b.level = 0
}

// Level returns the tokens that can be taken.
func (b *TokenBucket) Level(now time.Time) id.Tokens {
	b.refill(now)
	return b.level
}

// Depth returns the largest number of tokens that the bucket holds.
func (b *TokenBucket) Depth() id.Tokens { return b.depth }

// Rate returns the rate at which the bucket refills.
func (b *TokenBucket) Rate() id.TokensPerSecond { return b.rate }

// refill adds the tokens of the time since the last call. Time that goes backwards adds none.
func (b *TokenBucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt); !b.updatedAt.IsZero() && elapsed > 0 {
		b.level = min(b.level+id.Tokens(float64(b.rate)*elapsed.Seconds()), b.depth)
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}
