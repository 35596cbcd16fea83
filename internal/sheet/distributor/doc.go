// Package distributor accepts sheets into the platform's store and spreads the
// sheet in force to all VMs.
//
// A sheet is accepted by one conditional transaction that writes the current
// row, the row of the change identity and the audit record. The version of the
// sheet is the version of the current row, so versions have no gap, and of
// racing operators exactly one wins. The row of the change identity tells a
// repeat after a lost answer from a race.
//
// The first three VMs of a data centre by rank poll the audit records that
// follow their version; an idle poll therefore carries no sheet. The other VMs
// hold a long poll on these three. Both get differences, and the whole sheet
// only at start or when too far behind.
package distributor
