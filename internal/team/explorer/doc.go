// Package explorer runs the limits of teams over many VMs in simulated time, under load and under failures. Its tests run the
// holders and limiters of all VMs against a model of the store and of the network, and explore histories of the rules that bound
// the operations of a team.
package explorer
