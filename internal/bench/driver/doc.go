// Package driver loads a deployment as its callers do, and writes down each
// attempt with what the caller knows about its outcome.
//
// Callers are clerks, who mix reads and a few writes and move between VMs, and
// writers, who only insert entries, one after the other, so that the times of
// their acknowledgements show each pause of a database.
package driver
