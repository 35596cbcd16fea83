// Package overload tests that clients outside of anyone's control cannot end a daemon or make it exceed its resources.
//
// Each test starts a daemon as a process of its own on loopback addresses, beside stand-ins of the platform and of the
// instances, and lets a crowd of clients misbehave. It checks that the process runs, that its resident memory and its
// open descriptors stayed under the bound, and that an ordinary request is answered while the crowd is still connected.
// Times and shares of served requests are not checked, since they depend on the machine.
package overload
