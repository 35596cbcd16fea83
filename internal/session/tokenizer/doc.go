// Package tokenizer defines log positions and session tokens.
//
// A position is the pair (term, index), compared by term first. A replaced primary
// can hold entries with high indexes at the end of its log that no other instance
// will ever have, so indexes are only comparable within one term.
//
// A session token carries a floor for each database: the lowest position from which
// a read of the session may be served. The token passes through the client, so it is
// signed, and its size is limited.
package tokenizer
