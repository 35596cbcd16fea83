package budgeter

import (
	"cmp"
	"slices"
	"time"
)

// Stage is what a connection does.
type Stage int64

// The stages.
const (
	AwaitingStart Stage = iota // the session has not started
	Idle                       // waits for a message, or its statement is being served
	Receiving                  // a message has arrived in part
	Sending                    // an answer is being written
)

// Usage is what one connection uses at a moment.
type Usage struct {
	Amounts Amounts
	Stage   Stage
	Age     time.Duration // time in the stage
	IsPeer  bool          // a connection of another VM
}

// Choose returns the connections to close, by their index in usages, so that the use of a resource falls by excess. The
// first is the one with the heaviest use and the slowest progress. The amounts of the chosen ones may add up to less.
func Choose(r Resource, excess int64, usages []Usage) []int {
	var candidates []int
	for i, u := range usages {
		if u.mayBeClosedFor(r) {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int {
		return cmp.Compare(usages[b].weight(r), usages[a].weight(r))
	})
	n := 0
	for n < len(candidates) && excess > 0 {
		excess -= usages[candidates[n]].Amounts[r]
		n++
	}
	return candidates[:n]
}

// mayBeClosedFor reports whether a connection may be closed for more of a resource. Clients that merely wait for their
// own next statement, or for an answer of an instance, are not closed, however long.
func (u Usage) mayBeClosedFor(r Resource) bool {
	if u.Age < stallTime || u.Amounts[r] <= 0 {
		return false
	}
	switch r {
	case Received:
		return u.Stage == Receiving || u.Stage == AwaitingStart
	case Answers:
		return u.Stage == Sending
	case Kept:
		return u.Stage == Idle && !u.IsPeer && u.Amounts[Kept] >= minKeptToClose
	case Starting:
		return u.Stage == AwaitingStart
	}
	return u.Stage != Idle
}

// weight is the product of the amount and the time without progress.
func (u Usage) weight(r Resource) float64 { return float64(u.Amounts[r]) * u.Age.Seconds() }
