// Package follower keeps a copy of a table of the platform's store up to date. It reads the whole table once and then
// follows the table's change feed with long polls, so that an unchanged table costs one call per wait. If the store no
// longer keeps the changes that the copy lacks, it reads the whole table again.
package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
)

// Row is a row of a table, or a change of a row in a feed. Package replicator sends rows as gob, whose encoding
// contains the names of the fields, so they cannot be renamed.
type Row struct {
	Key       string
	Value     []byte
	Version   uint64 // of the store when the row was written or removed
	IsRemoved bool   // the row was removed; in a feed only
}

// Page is the result of a call to a Source.
type Page struct {
	Rows    []Row
	Version uint64 // latest version of the store; all rows are of its era
	// Gap is a version below which changes may be missing, except the latest one of each row that is there: a row that was written and
	// removed in between does not show. Zero: none is missing.
	Gap uint64
}

// Source is the store, or a substitute for it. Read returns all rows of a table. Follow returns the changes after a
// version and waits up to the given time for the first one; it fails with kind conflict if these changes are no longer
// kept, or if the store has been restored since that version, and with kind answerIncomplete if an answer has come that cannot be used,
// such as one with more changes than it may hold. If there is no answer, both must return an error soon after the time at which the
// answer was due.
type Source interface {
	Read(ctx context.Context, table string) (Page, error)
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

const (
	// DefaultWait is the wait of a feed call if Config.Wait is nil. The store may drop a waiting call in an outage
	// without answering it; the wait bounds how long this delays changes after the outage.
	DefaultWait = 8 * time.Second
	// initialWait is the wait of feed calls after the start or a failed call, until one succeeds. It is short because
	// the store may still leave calls unanswered.
	initialWait = time.Second
	// DefaultMinPause is the pause after the first of several failed calls in a row. It doubles with each further one.
	DefaultMinPause = 50 * time.Millisecond
	// DefaultMaxPause is the longest pause after a failed call.
	DefaultMaxPause = 800 * time.Millisecond
)

// Config holds the dependencies of a Follower.
type Config struct {
	Source Source
	Table  string
	// OnTable is called with all rows when the whole table was read or merged.
	OnTable func(rows []Row, version uint64)
	// OnChanges is called with the new changes from the feed or from Merge.
	OnChanges func(rows []Row, version uint64)
	// OnGap is called before a table or changes are passed on that may not show all changes since the version that was reached before; may be
	// nil. It is not called for the first table.
	OnGap func(version uint64)
	// OnAnswer is called after each successful call to Source, before its rows are passed on; may be nil.
	OnAnswer func()
	// OnFault is called with the error when calls begin to fail, and with nil when they succeed again; may be nil.
	OnFault func(err error)
	// Wait returns the wait of a feed call; nil stands for DefaultWait.
	Wait func() time.Duration
}

// Follower follows one table.
type Follower struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu         sync.Mutex // held while OnTable and OnChanges run, which thus cannot call methods of the Follower
	version    uint64     // of the store up to which all changes were passed on
	isLoaded   bool       // the whole table was passed on, and the changes after version can be followed
	answeredAt time.Time  // when Source last answered
}

// Start starts a Follower, which runs until Close is called.
func Start(cfg Config) *Follower {
	if cfg.Wait == nil {
		cfg.Wait = func() time.Duration { return DefaultWait }
	}
	if cfg.OnFault == nil {
		cfg.OnFault = func(error) {}
	}
	if cfg.OnGap == nil {
		cfg.OnGap = func(uint64) {}
	}
	if cfg.OnAnswer == nil {
		cfg.OnAnswer = func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, cancel: cancel}
	f.wg.Go(func() { f.run(ctx) })
	return f
}

// Close stops the Follower and waits until it has ended.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// Version returns the version of the store up to which the copy is complete. It is zero until the table is first read.
func (f *Follower) Version() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// AnsweredAt returns when Source last answered, and the zero time if it never did.
func (f *Follower) AnsweredAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.answeredAt
}

// Merge applies what was pulled from another VM: the whole table, or all changes after a version that this Follower
// has reached. It reports whether any of it was new.
func (f *Follower) Merge(p Page, isWhole bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Version <= f.version || !isWhole && (!f.isLoaded || EraOf(p.Version) != EraOf(f.version)) {
		return false
	}
	if isWhole {
		f.replaceTable(p)
		return true
	}
	return f.applyChanges(p)
}

// MergeTable applies a whole table that was read besides the feed. Once the table has been passed on, only the changes that
// lead to it are, which changesTo returns, unless the store was restored in between. It reports whether any of it was new. The gap of the
// page is its version, or zero if the feed was merged just before.
func (f *Follower) MergeTable(p Page, changesTo func(table Page) []Row) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case p.Version <= f.version:
		return false
	case !f.isLoaded || EraOf(p.Version) != EraOf(f.version):
		f.replaceTable(p)
		return true
	}
	return f.applyChanges(Page{Rows: changesTo(p), Version: p.Version, Gap: p.Gap})
}

// replaceTable passes on the whole table. The caller holds f.mu.
func (f *Follower) replaceTable(p Page) {
	if f.version > 0 {
		f.cfg.OnGap(p.Version)
	}
	f.cfg.OnTable(p.Rows, p.Version)
	f.version, f.isLoaded = p.Version, true
}

// applyChanges passes on the changes that are newer than the copy. The others have already arrived, from the feed or
// from another VM. It reports whether there were new ones. The caller holds f.mu.
func (f *Follower) applyChanges(p Page) bool {
	rows := slices.DeleteFunc(slices.Clone(p.Rows), func(r Row) bool { return r.Version <= f.version })
	if p.Gap > f.version {
		f.cfg.OnGap(p.Version)
	}
	if len(rows) > 0 {
		f.cfg.OnChanges(rows, p.Version)
	}
	f.version = max(f.version, p.Version)
	return len(rows) > 0
}

func (f *Follower) state() (version uint64, isLoaded bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version, f.isLoaded
}

// invalidate makes the next call read the whole table again.
func (f *Follower) invalidate() {
	f.mu.Lock()
	f.isLoaded = false
	f.mu.Unlock()
}

// run calls Source until ctx ends. After a failed call it pauses, with exponential backoff.
func (f *Follower) run(ctx context.Context) {
	isFailing, isFeedUnusable := false, false
	wait := initialWait
	pause := DefaultMinPause
	for ctx.Err() == nil {
		var p Page
		var err error
		version, isLoaded := f.state()
		isFeedCall := isLoaded && !isFeedUnusable
		if isFeedCall {
			p, err = f.cfg.Source.Follow(ctx, f.cfg.Table, version, wait)
		} else {
			p, err = f.cfg.Source.Read(ctx, f.cfg.Table)
		}
		if ctx.Err() != nil {
			return
		}
		if err == nil && !isFeedCall && EraOf(p.Version) < EraOf(version) {
			err = classifier.New(classifier.PlatformUnavailable, "table %s is of era %d, before era %d of this VM's copy", f.cfg.Table, EraOf(p.Version), EraOf(version))
		}
		if err != nil {
			wait = initialWait
			if isFeedCall && classifier.Is(err, classifier.Conflict) {
				f.invalidate()
			}
			// The same call would get the same answer. What other VMs send is merged until the table has been read.
			isFeedUnusable = isFeedCall && classifier.Is(err, classifier.AnswerIncomplete)
			if !isFailing {
				isFailing = true
				f.cfg.OnFault(err)
			}
			sleeper.Sleep(ctx, pause)
			pause = min(2*pause, DefaultMaxPause)
			continue
		}
		if isFailing {
			isFailing = false
			f.cfg.OnFault(nil)
		}
		pause, isFeedUnusable = DefaultMinPause, false
		f.cfg.OnAnswer()
		f.handleAnswer(p, !isFeedCall)
		if isFeedCall {
			wait = f.cfg.Wait() // may depend on the rows that were passed on
		}
	}
}

// handleAnswer passes on the rows of an answer of Source.
func (f *Follower) handleAnswer(p Page, isWhole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt = time.Now()
	isOtherEra := p.Version != 0 && EraOf(p.Version) != EraOf(f.version)
	switch {
	case isOtherEra && (!isWhole || p.Version < f.version): // another VM's table of a new era was merged during the call
	case !isWhole:
		f.applyChanges(p)
	case !f.isLoaded || p.Version >= f.version: // otherwise a newer table of another VM was merged during the call
		f.replaceTable(p)
	}
}
