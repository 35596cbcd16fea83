// Package supervisor starts and stops the components of the groups for which a VM is a gateway.
//
// A group serves one database and has a sampler, a promoter and an executor. They run while the
// VM is a gateway of the database. On a VM that is not, they run for a while after the last unit:
// the VMs' views of which VMs are live differ for a moment after each change, and a unit that
// another VM has sent here is served rather than sent back.
package supervisor
