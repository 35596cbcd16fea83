// Package supervisor starts and stops the parts of the groups that a VM is a gateway of.
//
// A group has a sampler, a promoter and an executor. They run while the VM is a
// gateway of the database, and for a while after the last unit on a VM that is
// none: views of the live VMs differ for a moment after each change, and a unit
// that another VM has sent here is served rather than sent back.
package supervisor
