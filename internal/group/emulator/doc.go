// Package emulator is a stand-in for one instance of a replicated database group.
//
// It speaks PostgreSQL protocol 3 and keeps its rows in SQLite. A primary
// appends every committed write transaction to a log of (term, index) entries
// before the commit is visible. Replicas pull that log over a control
// connection of the same protocol, hold its entries and apply them later. The
// fence, promotion and rejoin rules are those of connector.Instance.
//
// Log, fence term and rows are files in Config.Dir. They survive the end of
// the process at any moment, kill -9 included. They are not flushed to the disk
// device, so they do not survive a crash of the operating system.
//
// An entry holds statements with their parameters, and a replica runs these
// statements again. Statements must therefore be deterministic: random(),
// strftime('now') and the like give replicas other rows than the primary's.
// The exceptions are now() and CURRENT_TIMESTAMP, whose value is fixed at the
// primary and kept in the entry. They are not supported as the default of a column.
//
// The SQL dialect is SQLite's, with these translations: $1 parameters, casts
// of the form x::type (dropped, but kept as the type of a parameter), FOR
// UPDATE and FOR SHARE (the statement takes the write lock), now(), ILIKE and
// TABLE name. COPY, cursors, arrays, temporary objects and the system catalogs
// of PostgreSQL are missing.
//
// Transactions are READ COMMITTED, or snapshots with REPEATABLE READ and
// SERIALIZABLE. There is one write lock, which a transaction takes with its first write.
package emulator
