// Command harness-2 plays the scripted cases of the second review. It starts the stand-ins of the users' platform in its own
// process and the VMs as processes of the program that the deploy file names, on loopback addresses.
package main
