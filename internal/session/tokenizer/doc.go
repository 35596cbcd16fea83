// Package tokenizer holds log positions and session tokens.
//
// A position is the pair (term, index). The term is compared first: a replaced
// primary can hold a tail of entries with high indexes that no other instance
// will ever have, so an index is only comparable within one term.
//
// A session token carries, for each database, the lowest position that a read
// of the session may be served from. The token travels through the caller, so
// it is signed, and its size is bounded.
package tokenizer
