// Package dispatcher chooses the VM that runs a unit of work.
//
// Only the gateways of a database connect to its instances, because connections
// are scarce: at 7,100 VMs and 16 connections for each instance, no VM may
// connect to every database. The gateways of a database in one data centre are
// the first live VMs by rendezvous hashing, so that every VM finds the same
// ones without asking anybody, and the loss of a VM moves only its own share.
//
// Views of the live VMs differ for a while after a change. That costs extra
// connections but no correctness: every rule of sessions, writes and failover
// holds between any number of gateways.
package dispatcher
