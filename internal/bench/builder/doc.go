// Package builder runs one deployment inside the process: the platform, all
// instances and all VMs, over loopback sockets, with a relay in front of each
// that gives every link its delay, its bandwidth and its faults.
//
// A pause of a process is imitated by holding back all of its traffic: its
// timers go on, which a stopped process's do not. The integration tests pause real processes.
package builder
