// Package integration tests the programs as separate processes.
//
// Each case starts a stand-in of the platform, a database group and VMs on
// loopback IP numbers of its own, with a relay in front of every listening
// address. The relays run inside the test, cut and silence links, and tell
// processes apart by their IP number. Only real processes show what a pause, a
// kill or a planned stop does to timers, sockets and exit codes; load scenarios
// in one process are in internal/bench.
//
// Each file in testdata is one case in the form of package testscript. The
// commands it may use are in the table of the test files.
package integration
