// Package auditor keeps the audit trail of changes on the users' platform: the configurations that came into force and
// the instances that were promoted, with the VM that made the change, its token and the outcome. The platform's store
// has one row for each subject, a group or the configuration, with its latest entries. This limits the size of the
// trail and gives the entries of a subject a single order.
package auditor

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/platform/follower"
)

// Table is the name of the store table that has one row for each subject.
const Table = "audit"

const (
	// maxEntries limits the entries of a subject; older ones are removed.
	maxEntries = 24
	// queueLength limits the entries that wait while the store is unavailable; further ones are discarded.
	queueLength = 64
	// writeTimeout limits one attempt to append an entry, including the repeats after conflicts with other VMs.
	writeTimeout = 2 * time.Second
	// retryDelay is the time between attempts to append an entry.
	retryDelay = 2 * time.Second
)

// Entry records one change.
type Entry struct {
	At        time.Time `json:"at"`
	VM        string    `json:"vm"`
	Subject   string    `json:"-"`      // name of the group, or Configuration; the key of the row
	Action    string    `json:"action"` // Promote or Configure
	Instance  string    `json:"instance,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Token     uint64    `json:"token,omitempty"`
	Version   uint64    `json:"version,omitempty"` // version of the configuration
	Outcome   string    `json:"outcome,omitempty"` // Done, or the error kind
	Discarded int       `json:"leftOut,omitempty"` // entries that this VM discarded just before this one
}

// The values of Entry.Action.
const (
	Promote   = "promote"
	Configure = "configure"
)

// Done is the outcome of a change that took effect.
const Done = "done"

// Configuration is the subject of configuration changes.
const Configuration = "configuration"

// Store writes rows conditionally.
type Store interface {
	// Swap writes a row if its current version equals version, which is zero for a row that does not exist, and
	// returns the new version. Otherwise it returns the current row and an error of kind conflict.
	Swap(ctx context.Context, table, key string, value []byte, version uint64) (uint64, follower.Row, error)
}

// Auditor appends the entries of one VM to the trail in the background, until Close.
type Auditor struct {
	store  Store
	vmID   string
	queue  chan Entry
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu        sync.Mutex
	discarded int     // entries discarded since the last one that was queued
	written   []Entry // latest entries that were written, oldest first, at most maxEntries
}

// Start starts an auditor for the VM with the identity vmID.
func Start(store Store, vmID string) *Auditor {
	ctx, cancel := context.WithCancel(context.Background())
	a := &Auditor{store: store, vmID: vmID, queue: make(chan Entry, queueLength), cancel: cancel}
	a.wg.Go(func() { a.run(ctx) })
	return a
}

// Close stops the auditor and waits for it. Entries that were not yet written are lost.
func (a *Auditor) Close() {
	a.cancel()
	a.wg.Wait()
}

// Record sets the VM, the time and Discarded of an entry and queues it. It never blocks: if the queue is full, the entry
// is discarded and counted in the next one.
func (a *Auditor) Record(e Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e.VM, e.At, e.Discarded = a.vmID, time.Now().UTC().Truncate(time.Millisecond), a.discarded
	select {
	case a.queue <- e:
		a.discarded = 0
	default:
		a.discarded++
	}
}

// WriteAgain queues the entries of the given time before now once more, since a restored store may lack them. Those that it has are
// not written twice.
func (a *Auditor) WriteAgain(age time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, e := range a.written {
		if time.Since(e.At) > age {
			continue
		}
		select {
		case a.queue <- e:
		default:
			a.discarded++
		}
	}
}

// recordWritten keeps an entry for WriteAgain.
func (a *Auditor) recordWritten(e Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !slices.ContainsFunc(a.written, func(o Entry) bool { return o.Subject == e.Subject && o.isSameChange(e) }) {
		a.written = append(a.written, e)
	}
	a.written = a.written[max(0, len(a.written)-maxEntries):]
}

// run writes the queued entries in order and repeats each until it is written.
func (a *Auditor) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-a.queue:
			for a.appendEntry(ctx, e) != nil {
				if !sleeper.Sleep(ctx, retryDelay) {
					return
				}
			}
			a.recordWritten(e)
		}
	}
}

// subjectRow is the value of the row of a subject.
type subjectRow struct {
	Entries []Entry `json:"entries"` // oldest first
}

// appendEntry appends an entry to the row of its subject. It starts without knowledge of the row, and learns the current
// row from the conflict that this causes.
func (a *Auditor) appendEntry(ctx context.Context, e Entry) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var current follower.Row
	for {
		var subject subjectRow
		_ = json.Unmarshal(current.Value, &subject) // a row that cannot be decoded is replaced
		if slices.ContainsFunc(subject.Entries, e.isSameChange) {
			return nil // an earlier attempt was written but its answer was lost
		}
		subject.Entries = append(subject.Entries, e)
		subject.Entries = subject.Entries[max(0, len(subject.Entries)-maxEntries):]
		value, err := json.Marshal(subject)
		if err != nil {
			return err
		}
		_, row, err := a.store.Swap(ctx, Table, e.Subject, value, current.Version)
		if !classifier.Is(err, classifier.Conflict) || row.Version == current.Version {
			return err
		}
		current = row
	}
}

// isSameChange reports whether two entries of a subject record the same change.
func (e Entry) isSameChange(o Entry) bool {
	return e.VM == o.VM && e.At.Equal(o.At) && e.Action == o.Action && e.Token == o.Token && e.Version == o.Version
}

// Parse decodes rows of the table and returns all their entries, oldest first. It skips rows that cannot be decoded.
func Parse(rows []follower.Row) []Entry {
	var entries []Entry
	for _, r := range rows {
		var subject subjectRow
		if json.Unmarshal(r.Value, &subject) != nil {
			continue
		}
		for _, e := range subject.Entries {
			e.Subject = r.Key
			entries = append(entries, e)
		}
	}
	slices.SortStableFunc(entries, func(a, b Entry) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Subject, b.Subject)) })
	return entries
}
