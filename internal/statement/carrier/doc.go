// Package carrier defines the statements, commands and replies that pass between
// clients and database instances, independent of the wire protocol on either side.
package carrier
