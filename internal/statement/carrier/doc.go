// Package carrier holds the statements and replies that pass between callers
// and database instances, independent of the protocol on either side.
package carrier
