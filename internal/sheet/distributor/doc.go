// Package distributor accepts new versions of the sheet into the platform's store
// and distributes the current version to all VMs. The sheet is the configuration
// of a deployment: its regions, services, databases and instances.
//
// A version is accepted by one conditional transaction that writes the row of the
// current sheet, a row keyed by the change ID, and an audit record. The
// version of the sheet is the row version of the current sheet, so versions have
// no gaps, and exactly one of several concurrent changes is accepted. The change
// identity is an idempotency key: its row distinguishes a retry after a lost
// response from a concurrent change.
//
// In each data centre, the three VMs that rank first for the sheet poll the store
// for audit records newer than their own version, so a poll without changes
// transfers no sheet. Each other VM long-polls one of these three. Both receive
// changes, and a full sheet only at the start, when they are too far behind, or
// when a change from the store cannot be applied.
package distributor
