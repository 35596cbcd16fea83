// Package budgeter accounts for the memory and the descriptors that a process spends on its clients.
//
// Clients are not under the control of whoever runs the process. Each kind of resource that they can occupy has a
// budget over all of them. A process above a budget closes the connection that has used the most for the longest time
// without progress, or refuses the request that needs more. What each connection needs in ordinary operation (its
// goroutine, its read buffer, messages and answers up to a few KB) is bounded by the budget of connections and is not
// accounted for further, so that an ordinary statement costs no more than two atomic stores.
package budgeter

import "time"

// Resource is what clients occupy.
type Resource int

// The resources. The first three are bytes, the others are numbers of connections.
const (
	Received    Resource = iota // bytes of messages that have arrived in part or are being served
	Answers                     // bytes of answers that clients have not taken yet
	Kept                        // bytes of session values, prepared statements and other state of sessions
	Starting                    // connections that have not started a session
	Connections                 // open connections
	ResourceCount
)

// String returns the name of the resource in logs and metrics.
func (r Resource) String() string {
	return [ResourceCount]string{"received", "answers", "kept", "starting", "connections"}[r]
}

// IsBytes reports whether the resource is an amount of memory.
func (r Resource) IsBytes() bool { return r <= Kept }

// Amounts holds an amount of each resource.
type Amounts [ResourceCount]int64

// Limits are the budgets of a process.
type Limits struct {
	Process       Amounts // over all connections
	KeptBySession int64   // Kept of one connection
	ExtraForPeer  int64   // connections that other VMs may have beyond the budget of Connections
}

const (
	// defaultMemoryMB and defaultDescriptors stand for settings that are 0. Their budgets are those of a large VM.
	defaultMemoryMB    = 512
	defaultDescriptors = 22_000 // leaves more than the default limit of 20,000 client connections
	// clientMemoryShare is the divisor for the part of the memory that clients may occupy. Half is left to the process
	// itself (its tables, connections to instances, and goroutines and buffers of up to 4,000 sessions, about 15 KB each),
	// and a quarter to the program's text, garbage, and what closed connections have yet to release.
	clientMemoryShare = 4
	// minKeptBySession is the least that one session may keep: a value of the size of the largest message, and others.
	minKeptBySession = 2 << 20
	// ownDescriptorsShare is the divisor for the part of the descriptors that is reserved for connections to instances,
	// to the store and to other VMs. Of 4,300 descriptors, 238 remain: 72 connections to 24 instances through
	// gateways, those of a gateway, the listeners and calls between VMs. 4,062 are left for 3,940 sessions.
	ownDescriptorsShare = 18
	minOwnDescriptors   = 64
	megabyte            = 1 << 20
)

// LimitsFor returns the budgets of a process that has so much memory and so many descriptors; 0 stands for an unknown amount.
func LimitsFor(memoryMB, maxDescriptors int) Limits {
	if memoryMB <= 0 {
		memoryMB = defaultMemoryMB
	}
	if maxDescriptors <= 0 {
		maxDescriptors = defaultDescriptors
	}
	bytes := int64(memoryMB) * megabyte / clientMemoryShare / 3
	own := int64(max(maxDescriptors/ownDescriptorsShare, minOwnDescriptors))
	connections := max(int64(maxDescriptors)-own, own)
	return Limits{
		Process:       Amounts{Received: bytes, Answers: bytes, Kept: bytes, Starting: connections / 2, Connections: connections},
		KeptBySession: max(bytes/4, minKeptBySession),
		ExtraForPeer:  own / 4,
	}
}

// MemoryLimit returns the limit for the garbage collector of a process with so much memory. The rest is left to the
// program's text (17 MB resident) and to allocations that the collector does not follow in time.
func MemoryLimit(memoryMB int) int64 { return int64(memoryMB) * megabyte * 3 / 4 }

const (
	// stallTime is how long a message or an answer must have been in transit before its connection may be closed in
	// favour of others. A message of 1 MiB takes 0.8 s over the slowest link of a VM (10 Mbit/s).
	stallTime = time.Second
	// minKeptToClose is what an idle session must keep at least before it may be closed in favour of others. Ordinary
	// sessions keep a few KB.
	minKeptToClose = 64 << 10
	// scanPause is the time between two searches for connections to close if the first found too few. It bounds the
	// processor time that refused requests take.
	scanPause = 50 * time.Millisecond
	// releasePollInterval is the time between two attempts of ReserveBy.
	releasePollInterval = 5 * time.Millisecond
	// retryDelay is the time after which a refused client should retry: by then stalled connections can be closed.
	retryDelay = stallTime
)

// overshoot returns by how much a resource may exceed its budget while closed connections are still releasing theirs.
func overshoot(r Resource, limit int64) int64 {
	if r.IsBytes() {
		return limit / 4
	}
	return limit / 16
}
