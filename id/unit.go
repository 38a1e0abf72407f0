package id

// WholeLimit is the number of parts that make up a whole limit.
const WholeLimit Parts = 1_000_000

// Parts is a share of a limit in millionths.
type Parts int64

// Of returns the share p of amount.
func (p Parts) Of(amount Tokens) Tokens {
	return amount * Tokens(p) / Tokens(WholeLimit)
}

// Tokens is an amount of a limit; a request costs one token unless the limit says otherwise.
type Tokens float64

// TokensPerSecond is the refill rate of a limit.
type TokensPerSecond float64

// Bytes is an amount of data.
type Bytes int64

// Slots is a number of requests that may run concurrently.
type Slots int
