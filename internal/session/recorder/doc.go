// Package recorder remembers which session wrote which of the latest log entries of a database.
//
// A session that moves between VMs with its identity but without a token must
// read its own writes. The safe floor for it is the primary's position after the read
// arrived, but replicas that lag never reach that floor under a steady load, and
// every such read would go to the primary. The recorder lowers the floor to
// what the session needs: its own latest write.
//
// Only complete knowledge may lower it. A gateway records each commit that it
// made with its position before it acknowledges it, and gateways pass these
// records on to each other. Positions of one term have no gaps, so a gateway
// can prove that it knows all writers from an entry up to the confirmed
// position: it has a record of each of them. Where a record is missing, because its gateway
// died or was not heard yet, the session may have written that entry, and the
// floor stays above it. No list of gateways and no clock takes part in the proof, so a wrong belief about the
// live VMs costs freshness of a replica's turn and never a missed write.
package recorder
