// Package follower keeps a copy of a table of the platform's store. It reads the
// table once and then follows its feed, so that an unchanged table costs one call
// in each wait. When the feed's history is gone, it reads the table again.
package follower

import (
	"context"
	"sync"
	"time"

	"parsleyscale/internal/clock/sleeper"
	"parsleyscale/internal/failure/classifier"
)

// Row is a row of a table.
type Row struct {
	Key       string
	Value     []byte
	Version   uint64
	IsRemoved bool // in a feed: the row is gone
}

// Page is an answer about rows.
type Page struct {
	Rows    []Row
	Version uint64 // newest version of the store
}

// Source is the store. A lost history is an error of kind conflict.
type Source interface {
	Read(ctx context.Context, table string) (Page, error)
	Follow(ctx context.Context, table string, after uint64, wait time.Duration) (Page, error)
}

// Defaults of Config.
const (
	// DefaultWait is short enough that a call which the store forgot in an outage
	// does not hide changes for long after it.
	DefaultWait     = 8 * time.Second
	DefaultMargin   = time.Second
	firstWait       = time.Second // after a fault, when the store may still be silent
	DefaultMinPause = 50 * time.Millisecond
	DefaultMaxPause = 800 * time.Millisecond
)

// Config holds what a Follower needs.
type Config struct {
	Source Source
	Table  string
	// Whole is called with all rows after a read, Changed with the rows of a feed.
	Whole   func(rows []Row, version uint64)
	Changed func(rows []Row, version uint64)
	// Heard is called after each answer; may be nil.
	Heard func()
	// Fault is called when calls begin to fail, and with nil when they work again; may be nil.
	Fault func(err error)
	Wait  func() time.Duration // of one call to the feed; nil: DefaultWait
}

// Follower follows one table. Close ends it.
type Follower struct {
	cfg    Config
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// Start returns a running follower.
func Start(cfg Config) *Follower {
	if cfg.Wait == nil {
		cfg.Wait = func() time.Duration { return DefaultWait }
	}
	if cfg.Fault == nil {
		cfg.Fault = func(error) {}
	}
	if cfg.Heard == nil {
		cfg.Heard = func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, cancel: cancel}
	f.wg.Go(func() { f.run(ctx) })
	return f
}

// Close ends the follower and waits for it.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

func (f *Follower) run(ctx context.Context) {
	var version uint64
	isRead, isFailing := false, false
	wait := firstWait
	pause := DefaultMinPause
	for ctx.Err() == nil {
		var p Page
		var err error
		if isRead {
			p, err = f.follow(ctx, version, wait)
		} else {
			p, err = f.read(ctx)
		}
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			wait = firstWait
			isRead = isRead && !classifier.Is(err, classifier.Conflict)
			if !isFailing {
				isFailing = true
				f.cfg.Fault(err)
			}
			sleeper.Sleep(ctx, pause)
			pause = min(2*pause, DefaultMaxPause)
			continue
		}
		if isFailing {
			isFailing = false
			f.cfg.Fault(nil)
		}
		pause = DefaultMinPause
		if isRead {
			wait = f.cfg.Wait()
		}
		f.cfg.Heard()
		if !isRead {
			f.cfg.Whole(p.Rows, p.Version)
		} else if len(p.Rows) > 0 {
			f.cfg.Changed(p.Rows, p.Version)
		}
		if !isRead {
			version = p.Version
		}
		isRead = true
		version = max(version, p.Version)
	}
}

func (f *Follower) read(ctx context.Context) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultMargin)
	defer cancel()
	return f.cfg.Source.Read(ctx, f.cfg.Table)
}

func (f *Follower) follow(ctx context.Context, after uint64, wait time.Duration) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+DefaultMargin)
	defer cancel()
	return f.cfg.Source.Follow(ctx, f.cfg.Table, after, wait)
}
