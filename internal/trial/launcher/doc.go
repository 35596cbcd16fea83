// Package launcher runs a small system in one process over loopback sockets:
// the platform, one database group of three instances, and three VMs.
package launcher
