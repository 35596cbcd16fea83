// Package promoter replaces the primary of a database group when it has failed
// or is leaving, and repairs instances that follow the wrong one.
//
// Each gateway of a group runs one. Nothing elects a leader among them: a
// promotion is safe whoever carries it out and whenever it stops, because the
// instances refuse lower terms. Rank delays only keep the gateways from racing.
//
// Three rules keep a confirmed write from being lost:
//
//   - A term belongs to the promoter whose Fence answers of that term come from
//     a majority. A Fence call whose answer is lost does not count, because
//     another promoter may have fenced the same term.
//   - The promoted instance has the greatest last entry among the fenced ones,
//     as they reported it in answer to Fence.
//   - A term sees one Promote call to one instance. When its outcome is unknown,
//     the next attempt fences a higher term.
package promoter
