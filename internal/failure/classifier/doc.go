// Package classifier holds the closed list of error kinds and the table that
// maps each kind to the answer a caller gets.
//
// A caller must be able to tell from the answer alone whether its request ran
// and whether it may be repeated. Kinds and their SQLSTATEs are an interface:
// adding one is a feature, renaming one breaks callers.
package classifier
