// Package dispatcher chooses the VM that runs a unit of work.
//
// A unit runs on a gateway of its database: only gateways connect to the
// instances, because connections are scarce. With 7,100 VMs and 16 connections
// for each instance, not every VM can connect to every database. The gateways of
// a database in one data centre are its first live VMs in rendezvous-hash order.
// Every VM can therefore compute them without communication, and the loss of a VM
// moves only the databases that it was a gateway of.
//
// After a change of the live VMs, the views that VMs have of them differ for a
// while. This costs extra connections but does not affect correctness: the
// guarantees of sessions, writes and failover hold for any number of gateways.
package dispatcher
