// Package relayer is a fault-injecting TCP proxy for experiments and tests.
//
// A Network maps IP addresses to places and simulates the links between them:
// their delays, shared bandwidth and faults. A Relay listens in front of one
// target. It identifies the connecting process by its source IP address, so
// that one relay can cut its target off from one data centre and not from
// another. Every process of a trial therefore connects from an IP address of
// its own.
//
// A cut link holds data back, as a network partition does, and delivers it
// after the cut if both ends have kept the connection open. A silenced
// connection stays open but never carries data again.
package relayer
