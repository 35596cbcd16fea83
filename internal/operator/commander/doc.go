// Package commander implements the commands of parsleyctl.
//
// The commands read and write the platform's store and never depend on a VM, so that they behave the same
// whichever VMs are running. Only the two status commands also query the VMs. They report the state of a VM that
// answered separately from the fact that a VM could not be reached.
package commander
