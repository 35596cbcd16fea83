// Package holder holds shards of teams' limits: one VM at a time for each, by a lease in the store.
//
// A holder grants only until a lease after the start of its last successful write of the row. Another VM writes the row only
// after it has seen it unchanged for longer than that, and the write fails if the row changed in between. So the lease of the
// earlier holder has ended by then, whatever the store or the network delayed. Both times are read from clocks that go on while
// the VM is suspended.
package holder

import (
	"encoding/json"
	"slices"
	"time"

	"parsleyscale/internal/platform/follower"
	"parsleyscale/internal/team/sharder"
)

const (
	// Lease is how long a holder grants after the start of its last successful write. It outlasts an outage of the store of
	// 9 s that begins just before a renewal.
	Lease = 30 * time.Second
	// takeOverWait is how long a row must be unchanged before another VM takes it over. The excess over Lease covers clocks
	// that differ in speed by up to 5%.
	takeOverWait = Lease + Lease/20
	// renewInterval is the time between two renewals. After a failed one, retryInterval applies.
	renewInterval = 10 * time.Second
	retryInterval = 2 * time.Second
	// rankDelay is how long each VM waits for the one that ranks before it, up to maxRankDelay.
	rankDelay    = 500 * time.Millisecond
	maxRankDelay = 10 * time.Second
)

// Row is the row of a shard in the store.
type Row struct {
	Holder  string `json:"holder"`  // VM; empty if the shard is free
	Address string `json:"address"` // peer address of the holder
	Start   string `json:"start"`   // identifies the process of the holder
	// Era is the era of the store in which the row was written. If it is below that of the row's version, the store has been
	// restored since from a copy that may lack a later lease.
	Era uint64 `json:"era,omitempty"`
}

// SeenRow is a row as this VM knows it.
type SeenRow struct {
	Row
	Version uint64        // 0: there is no row
	SeenAt  time.Duration // when this VM first received or wrote this version
	// IsOlder is set if the store may have lost a later version of the row, because this VM knew one or the store was restored
	// from a copy and the row has not been written since. Another VM may have a lease that the row does not show.
	IsOlder bool
}

// isFree reports whether the row shows that nobody has a lease.
func (r SeenRow) isFree() bool { return r.Holder == "" && !r.IsOlder }

// View is what a VM knows when it decides.
type View struct {
	Now         time.Duration
	ReadAt      time.Duration // when the latest read of the table began
	RenewedAt   time.Duration // when the latest successful write began
	AttemptedAt time.Duration // when the latest write began
	Self, Start string
	HasLease    [sharder.Count]bool // whether this process may grant now
	Rows        [sharder.Count]SeenRow
	IsSilent    [sharder.Count]bool // whether the holder of the row has not confirmed that it holds the shard
	Ranks       [sharder.Count]int  // of this VM
	// AreRanksKnown is false until the VMs that start together know each other. Until then a VM claims only the shards of its
	// earlier process: if all claimed, 65 VMs made 176 writes in vain.
	AreRanksKnown bool
}

// Decision is what a VM writes to the store next. Without shards, it writes nothing.
type Decision struct {
	Renew []int // shards that this process holds
	Claim []int
	// Read is set if the table must be read before the VM can claim.
	Read bool
}

// Decide returns the next step of a VM.
func Decide(v View) Decision {
	var d Decision
	isRetry := v.AttemptedAt > v.RenewedAt
	for shard, r := range v.Rows {
		switch {
		case r.Holder == v.Self && r.Start == v.Start && (v.HasLease[shard] || !r.IsOlder):
			d.Renew = append(d.Renew, shard)
		case r.Holder == v.Self && r.Start != v.Start && !r.IsOlder:
			d.Claim = append(d.Claim, shard) // of an earlier process of this VM, which has ended
		case r.isFree() && !v.AreRanksKnown:
		default:
			d.consider(v, shard)
		}
	}
	isRegressed := slices.ContainsFunc(d.Renew, func(shard int) bool { return v.Rows[shard].IsOlder })
	if len(d.Claim) == 0 && !isRegressed && v.Now-v.RenewedAt < renewInterval {
		d.Renew = nil
	}
	if isRetry && v.Now-v.AttemptedAt < retryInterval {
		d.Renew, d.Claim = nil, nil
	}
	return d
}

// consider adds a shard that is free or held by another VM, if this VM may claim it.
func (d *Decision) consider(v View, shard int) {
	r, rank := v.Rows[shard], v.Ranks[shard]
	if rank < 0 || r.Holder != "" && !r.IsOlder && !v.IsSilent[shard] {
		return
	}
	due := r.SeenAt + min(time.Duration(rank)*rankDelay, maxRankDelay)
	if !r.isFree() {
		due += takeOverWait
	}
	switch {
	case v.Now < due:
	case rank == 0 || v.ReadAt >= due:
		d.Claim = append(d.Claim, shard)
	default:
		d.Read = true // a VM that ranks before this one may have claimed the shard
	}
}

// With returns the row as this VM knows it after it received the present row of the store, which is nil if there is none.
func (r SeenRow) With(row *follower.Row, now time.Duration) SeenRow {
	switch {
	case row == nil && r.Version == 0 && r.SeenAt != 0:
		return r
	case row == nil && r.Version == 0:
		return SeenRow{SeenAt: now}
	case row == nil:
		return SeenRow{SeenAt: now, IsOlder: true}
	case r.Version == row.Version:
		return r
	}
	next := SeenRow{Version: row.Version, SeenAt: now}
	if err := json.Unmarshal(row.Value, &next.Row); err != nil {
		next.Row = Row{Holder: "unknown"} // in another format: it may be a lease, so that it is waited for
	}
	next.IsOlder = row.Version < r.Version || next.Era < follower.EraOf(row.Version)
	return next
}
