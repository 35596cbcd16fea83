// Package launcher runs a small trial system in one process over loopback
// connections: an emulated platform, one emulated database group of three
// instances, and three VMs.
package launcher
