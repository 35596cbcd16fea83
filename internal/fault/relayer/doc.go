// Package relayer is a fault-injecting TCP proxy for experiments and tests.
//
// A Network knows where each IP number is and holds the links between places: their
// delay, their shared bandwidth, and their faults. A Relay listens in front of
// one target. It tells callers apart by their source address, so that one
// relay can cut a target off from one data centre and not from another. Every
// process of a trial therefore connects from an IP number of its own.
//
// A cut link holds data back as a partition does, and passes it on after the cut has ended
// if the ends still have their connection. A silenced connection stays open and never carries anything again.
package relayer
