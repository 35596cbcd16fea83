// Package commander holds the commands of parsleyctl.
//
// The commands work on the platform's store, never on a VM, so that they work
// the same whichever VMs are up. Only status asks the VMs; it keeps apart what
// a VM said and that a VM cannot be seen.
package commander
