package budgeter

import (
	"sync/atomic"
	"time"

	"parsleyscale/internal/failure/classifier"
)

// EntryBytes approximates the memory of an entry of a session's tables beyond its texts.
const EntryBytes = 128

// Account is what one connection uses. Its methods are called by the goroutine of the connection. A nil Account accepts
// everything.
type Account struct {
	budget *Budget
	conn   Conn
	isPeer bool

	used  Amounts      // accessed atomically
	stage atomic.Int64 // time since the start of the budget in ns, shifted by stageBits, and the stage

	hasStarted bool
	isEnding   bool        // the connection was chosen to be closed; guarded by the budget's mutex
	mustEnd    atomic.Bool // the session ends once its statement is answered
}

// stageBits is the number of bits that hold the stage beside its time.
const stageBits = 2

// Enter records what the connection does from now on.
func (a *Account) Enter(s Stage) {
	if a != nil {
		if s == Idle && !a.hasStarted {
			s = AwaitingStart
		}
		a.stage.Store(int64(time.Since(a.budget.started))<<stageBits | int64(s))
	}
}

// usage returns what the connection uses at a time.
func (a *Account) usage(now time.Time) Usage {
	var amounts Amounts
	for r := range amounts {
		amounts[r] = atomic.LoadInt64(&a.used[r])
	}
	stage := a.stage.Load()
	since := a.budget.started.Add(time.Duration(stage >> stageBits))
	return Usage{Amounts: amounts, Stage: Stage(stage & (1<<stageBits - 1)), Age: now.Sub(since), IsPeer: a.isPeer}
}

// end makes the session end: at once while it receives or sends, and else when its statement is answered.
func (a *Account) end() {
	a.mustEnd.Store(true)
	if Stage(a.stage.Load()&(1<<stageBits-1)) == Idle {
		_ = a.conn.SetReadDeadline(time.Unix(1, 0)) // wakes a session that waits for its client
		return
	}
	_ = a.conn.Close()
}

// MustEnd reports whether the session was chosen to be closed.
func (a *Account) MustEnd() bool { return a != nil && a.mustEnd.Load() }

// Started records that the session has started.
func (a *Account) Started() {
	if a == nil || a.hasStarted {
		return
	}
	a.hasStarted = true
	a.add(Starting, -1)
	a.Enter(Idle)
}

func (a *Account) add(r Resource, n int64) int64 {
	atomic.AddInt64(&a.used[r], n)
	return atomic.AddInt64(&a.budget.used[r], n)
}

// Reserve accounts for n more of a resource. If that exceeds the budget and cannot be made available by closing other
// connections, it returns an error of kind overloaded and accounts for nothing.
func (a *Account) Reserve(r Resource, n int64) error {
	if a == nil || n <= 0 || a.tryReserve(r, n) {
		return nil
	}
	return a.budget.refusal(r, n)
}

// ReserveBy is Reserve, but waits until a time for others to release what is missing.
func (a *Account) ReserveBy(deadline time.Time, r Resource, n int64) error {
	if a == nil || n <= 0 {
		return nil
	}
	for !a.tryReserve(r, n) {
		if n > a.budget.limits.Process[r] || time.Until(deadline) < releasePollInterval {
			return a.budget.refusal(r, n)
		}
		time.Sleep(releasePollInterval)
	}
	return nil
}

func (a *Account) tryReserve(r Resource, n int64) bool {
	if a.add(r, n) <= a.budget.limits.Process[r] || a.budget.makeRoom(a, r, n) {
		return true
	}
	a.add(r, -n)
	return false
}

// Add accounts for n more of a resource, also above the budget. It is for what cannot be refused any more.
func (a *Account) Add(r Resource, n int64) {
	if a != nil {
		a.add(r, n)
	}
}

// Release ends the accounting for n of a resource.
func (a *Account) Release(r Resource, n int64) {
	if a != nil && n != 0 {
		a.add(r, -n)
	}
}

// ReleaseAll ends the accounting for all that the connection uses of a resource.
func (a *Account) ReleaseAll(r Resource) {
	if a != nil {
		a.Release(r, atomic.LoadInt64(&a.used[r]))
	}
}

// Keep accounts for n bytes that the session keeps, and for an entry of a table. The error is of kind messageTooLarge if
// the session would keep more than one may.
func (a *Account) Keep(n int) error {
	if a == nil {
		return nil
	}
	if err := a.checkKept(n); err != nil {
		return err
	}
	return a.Reserve(Kept, int64(n)+EntryBytes)
}

// Unkeep ends what Keep began.
func (a *Account) Unkeep(n int) { a.Release(Kept, int64(n)+EntryBytes) }

func (a *Account) checkKept(n int) error {
	if kept, limit := atomic.LoadInt64(&a.used[Kept])+int64(n)+EntryBytes, a.budget.limits.KeptBySession; kept > limit {
		return classifier.New(classifier.MessageTooLarge, "session would keep %d bytes of values and prepared statements, the limit is %d", kept, limit)
	}
	return nil
}

// KeepText accounts for a text that other sessions are likely to keep as well, and returns the copy that all of them share.
// The process is charged once for it, and each session with the whole of it.
func (a *Account) KeepText(text string) (string, error) {
	if a == nil {
		return text, nil
	}
	if err := a.checkKept(len(text)); err != nil {
		return "", err
	}
	b := a.budget
	if shared, ok := b.share(text, false); ok {
		atomic.AddInt64(&a.used[Kept], int64(len(text)))
		return shared, a.keepEntry(shared)
	}
	if err := a.Reserve(Kept, int64(len(text))); err != nil {
		return "", err
	}
	shared, wasKnown := b.share(text, true)
	if wasKnown {
		atomic.AddInt64(&b.used[Kept], -int64(len(text))) // another session was faster
	}
	return shared, a.keepEntry(shared)
}

// keepEntry accounts for the table entry of a shared text, and gives up the text if there is no room.
func (a *Account) keepEntry(text string) error {
	err := a.Reserve(Kept, EntryBytes)
	if err != nil {
		a.unshare(text)
	}
	return err
}

// UnkeepText ends what KeepText began.
func (a *Account) UnkeepText(text string) {
	if a != nil {
		a.unshare(text)
		a.Release(Kept, EntryBytes)
	}
}

func (a *Account) unshare(text string) {
	atomic.AddInt64(&a.used[Kept], -int64(len(text)))
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	t := b.texts[text]
	if t.refs--; t.refs == 0 {
		delete(b.texts, text)
		atomic.AddInt64(&b.used[Kept], -int64(len(text)))
	}
}

// share returns the shared copy of a text and whether there was one. If there is none, it adds the text if isNew is set.
func (b *Budget) share(text string, isNew bool) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if t := b.texts[text]; t != nil {
		t.refs++
		return t.text, true
	}
	if isNew {
		b.texts[text] = &sharedText{text: text, refs: 1}
	}
	return text, false
}

// Close ends the accounting for the connection. The session must have given up its shared texts.
func (a *Account) Close() {
	if a == nil {
		return
	}
	for r := range ResourceCount {
		a.ReleaseAll(r)
	}
	a.budget.mu.Lock()
	delete(a.budget.accounts, a)
	a.budget.mu.Unlock()
}
