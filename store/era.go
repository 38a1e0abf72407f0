package store

// A store that returns from an older copy of itself gives out versions again. Its era rises by one each time, so that
// versions are ordered by era and number. Both are held in one value, the era in the upper bits.
const (
	eraBits    = 20
	numberBits = 64 - eraBits
	maxNumber  = 1<<numberBits - 1
	// MaxEra is the highest era that a version can hold.
	MaxEra = 1<<eraBits - 1
)

// VersionInEra returns the version with a number in an era.
func VersionInEra(era, number uint64) uint64 {
	return min(era, MaxEra)<<numberBits | min(number, maxNumber)
}

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> numberBits }

// NumberOf returns the number of a version within its era.
func NumberOf(version uint64) uint64 { return version & maxNumber }
