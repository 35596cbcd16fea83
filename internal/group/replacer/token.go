package replacer

import "parsleyscale/internal/platform/follower"

// A fencing token consists of three fields, from the highest bits down: the term that the promote
// request ends, whether the requesting VM has claimed the group (the claimed bit), and the unique
// number of the claim or of the spare token. The claimed bit is above the number because a spare
// token that was taken after a claim has the higher number, although its VM, without the store, does
// not know of the claim. The platform refuses a token that is lower than one it has seen, so with
// this layout, whatever the numbers, it
//   - never refuses a request for a later term, and
//   - always refuses a request without a claim after one with a claim for the same term.
//
// The number is the ordinal of a version of the store, since a restored store issues versions again: numbers of a later era of
// the store are higher.
const (
	numberBits = 35
	claimedBit = 1 << numberBits
	termShift  = numberBits + 1
)

// fencingToken returns the token of a promote request that ends a term, with the version of the claim or of the spare token.
func fencingToken(term, version uint64, isClaimed bool) uint64 {
	token := term<<termShift | follower.Ordinal(version)&(claimedBit-1)
	if isClaimed {
		token |= claimedBit
	}
	return token
}
