// Package explorer runs the decisions that replace a primary through random histories of faults. Its tests
// run the replacer, registrar and claimer of several VMs in simulated time, against a model of the platform and
// of a group of instances, and check that no acknowledged commit is lost.
package explorer
