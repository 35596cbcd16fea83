// Package recorder keeps the sessions that wrote the latest log entries of a database.
//
// A session that moves between VMs with its identity but without a session token
// must still read its own writes. A safe floor for such a read is the position of the
// primary after the read arrived. But under a steady write load, a lagging replica
// never reaches that floor in time, and every such read would go to the primary. The
// recorder lowers the floor to what the session needs: its own latest write.
//
// The floor may only be lowered past entries whose writers are all known. A gateway
// records the position of each commit that it makes before it acknowledges the commit,
// and gateways send these records to each other. The positions of one term have no
// gaps, so a gateway knows the writers of all entries from one entry up to the
// confirmed position if it has a record of each of them. If a record is missing,
// because its gateway failed or its records have not arrived yet, the session may have
// written that entry, and the floor stays at or above it.
//
// The proof depends neither on the list of gateways nor on a clock. A wrong view of the
// live VMs can therefore send a read to the primary that a replica could have served,
// but it cannot make a session miss its own write.
package recorder
