package follower

// A version of the store is one number in the process: the era above the version that the store issued. The store begins a new
// era when it is restored from an older copy, and then issues versions of the previous era again. Versions of a later
// era are higher than all of an earlier one. In era 0, of a store that doesn't name its era, the number is the store's version.
const (
	eraShift  = 40
	maxNumber = 1<<eraShift - 1
	maxEra    = 1<<(64-eraShift) - 1
)

// VersionAt returns the version for a number that the store issued in an era.
func VersionAt(era, number uint64) uint64 { return min(era, maxEra)<<eraShift | min(number, maxNumber) }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> eraShift }

// NumberOf returns the number that the store issued for a version.
func NumberOf(version uint64) uint64 { return version & maxNumber }

// Before returns the version that precedes another one by n numbers, at least 0, in the same era.
func Before(version, n uint64) uint64 { return version - min(n, NumberOf(version)) }

// ordinalStride is more than the number of writes that the store loses when it is restored: 4 million take an hour at
// 1,200 writes per second, and a copy is some seconds old.
const ordinalStride = 1 << 22

// Ordinal returns a number of fewer bits than a version that is as unique and in the same order. It is the version itself in
// era 0. It relies on the number of lost writes: in a later era, the store issues a number again only if it is less than
// ordinalStride below the highest one that it has issued.
func Ordinal(version uint64) uint64 { return NumberOf(version) + EraOf(version)*ordinalStride }
