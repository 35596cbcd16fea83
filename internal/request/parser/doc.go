// Package parser classifies SQL text.
//
// It is a scanner and not a grammar. It knows comments, string literals,
// dollar quotes and quoted identifiers, so that it finds the ends of
// statements and the keywords between them. A statement is a read only when
// its first keyword is known to read and no keyword in it changes data.
// Everything else is a write, because a write that runs on a replica fails
// while a read that runs on the primary only costs time there.
//
// The package also recognises the statements that the listener answers by
// itself, and those that would leave state behind on a backend connection.
// Backend connections are shared between callers, so the latter are refused.
package parser
