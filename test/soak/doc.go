// Package soak runs the daemon of the line protocol as real processes before emulated groups of instances, draws series of
// overlapping faults from a seed, and checks what the clients were told against the logs of the instances that were promoted.
//
// CI runs two short seeds. A long run by hand, whose failing seeds keep their logs and a merged timeline in DIR:
//
//	go test ./test/soak -run TestSoak -v -timeout 2h -seed 1 -runs 50 -length 30s -vms 8 -logs DIR [-parsleyline PATH]
package soak
