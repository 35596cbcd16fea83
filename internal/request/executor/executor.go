// Package executor runs units of work of one database on its instances.
//
// It chooses an instance, waits for admission, passes the caller's messages to
// the instance and the answers back. Three rules shape it. A read may move to
// another instance only while its caller has seen nothing of the answer. The
// messages that acknowledge a commit are kept back until a majority of the
// group holds the commit. A request with a key runs at most once, because the
// key is written in the transaction of the request.
package executor

import (
	"context"
	"sync"
	"time"

	"parsleyscale/internal/backend/pooler"
	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/admitter"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

// Defaults of Config.
const (
	DefaultMaxStaleness = 5 * time.Second
	DefaultSilence      = time.Second
	DefaultRetention    = 24 * time.Hour
	DefaultCurrentBound = 500 * time.Millisecond
	DefaultSweepEvery   = time.Minute
	DefaultIdle         = time.Minute
)

// Sampler is the view of the group and the confirmation of writes.
type Sampler interface {
	// View returns the latest view.
	View() sampler.View
	// Next returns the view of a round that started after the call.
	Next(ctx context.Context) (sampler.View, error)
	// Confirm returns nil once a majority holds p, or an error of kind primaryReplaced, or the context's error.
	Confirm(ctx context.Context, p tokenizer.Position) error
	// Report hands over a failure of an instance.
	Report(instance string, err error)
	// Changed returns a channel that is closed when the view changes.
	Changed() <-chan struct{}
}

// Hold lets a planned switch of the primary pause the write units of this gateway.
type Hold interface {
	// Wait blocks while new write units are held.
	Wait(ctx context.Context) error
	// Begin and End enclose a running write unit.
	Begin()
	End()
}

// Config holds the settings of an Executor and the parts that it uses.
type Config struct {
	Database   string
	DataCentre string // of this VM
	Region     string
	RegionOf   func(dataCentre string) string
	ReadKind   func(name string) (parser.ReadKind, bool) // from the sheet in force

	Sampler  Sampler
	Decide   func(v sampler.View, q router.Query) router.Decision
	Pool     *pooler.Pool
	Admitter *admitter.Admitter
	Budget   *admitter.Budget
	Hold     Hold   // nil: writes are never held
	Writes   Writes // nil: a session without a token needs all that was acknowledged before its read

	NotCommitted []string // SQLSTATEs of an instance that mean that the statement certainly did not commit

	MaxStaleness time.Duration // of reads without a read kind
	Silence      time.Duration // a first attempt that can be repeated is given up when the instance sends nothing for so long
	CurrentBound time.Duration // reads with at most this staleness go before others
	Retention    time.Duration // of request keys
	SweepEvery   time.Duration // least time between two removals of old keys

	IdleInTransaction time.Duration // a transaction is rolled back when its caller sends nothing for so long
}

func (c Config) withDefaults() Config {
	c.MaxStaleness = orDefault(c.MaxStaleness, DefaultMaxStaleness)
	c.Silence = orDefault(c.Silence, DefaultSilence)
	c.CurrentBound = orDefault(c.CurrentBound, DefaultCurrentBound)
	c.Retention = orDefault(c.Retention, DefaultRetention)
	c.SweepEvery = orDefault(c.SweepEvery, DefaultSweepEvery)
	c.IdleInTransaction = orDefault(c.IdleInTransaction, DefaultIdle)
	if c.Hold == nil {
		c.Hold = noHold{}
	}
	if c.Budget == nil {
		c.Budget = admitter.NewBudget()
	}
	return c
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// Writes knows which sessions made the latest commits.
type Writes interface {
	// Add records a commit before it is acknowledged.
	Add(p tokenizer.Position, session string)
	// Floor returns what an instance must have applied to show a session all
	// its writes up to a confirmed position. It does not look at entries up to
	// enough, and waits for missing records until ctx ends.
	Floor(ctx context.Context, session string, confirmed tokenizer.Position, enough uint64) tokenizer.Position
}

type noHold struct{}

func (noHold) Wait(context.Context) error { return nil }
func (noHold) Begin()                     {}
func (noHold) End()                       {}

// Executor runs the units of one database. It implements exchanger.Runner.
type Executor struct {
	cfg          Config
	notCommitted map[string]bool
	keys         keyLocks
	sweeper      sweeper
	units        sync.Pool
}

var _ exchanger.Runner = (*Executor)(nil)

// New returns an executor.
func New(cfg Config) *Executor {
	e := &Executor{cfg: cfg.withDefaults(), notCommitted: map[string]bool{}}
	for _, code := range cfg.NotCommitted {
		e.notCommitted[code] = true
	}
	e.units.New = func() any { return newUnit() }
	e.keys.running = map[string]chan struct{}{}
	e.sweeper.init()
	return e
}

// Close waits for the removal of old keys to end. Units must have ended before.
func (e *Executor) Close() { e.sweeper.close() }

// Run runs one unit. When it fails, it has received the caller's batch up to its end.
func (e *Executor) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	u := e.units.Get().(*unit)
	u.reset(e, r, s)
	defer e.units.Put(u)
	res, err := u.run(ctx)
	u.drop()
	if err != nil {
		u.skipBatch()
	}
	return res, err
}

func (u *unit) run(ctx context.Context) (exchanger.Result, error) {
	if err := u.b.receive(u.s, u.r.Key != ""); err != nil {
		return exchanger.Result{}, err
	}
	u.arrived = time.Now()
	if err := u.r.Check(); err != nil {
		return exchanger.Result{}, err
	}
	if u.r.Database != u.e.cfg.Database {
		return exchanger.Result{}, classifier.New(classifier.UnknownDatabase, "database %q is not served here", u.r.Database)
	}
	u.e.cfg.Budget.Earn()
	first, cancel := context.WithTimeout(ctx, u.r.Timeout)
	defer cancel()
	if err := u.runFirst(first); err != nil {
		return exchanger.Result{}, err
	}
	if err := u.runRest(ctx); err != nil {
		return exchanger.Result{}, err
	}
	return u.result(), nil
}

// runFirst runs the first batch, which is the whole unit unless it opens a transaction.
func (u *unit) runFirst(ctx context.Context) error {
	switch {
	case u.r.Class.IsRead():
		return u.runRead(ctx)
	case u.r.Key != "" && u.r.Class == exchanger.Transaction:
		return u.runKeyedBegin(ctx)
	case u.r.Key != "" && u.b.executes:
		return u.runKeyed(ctx)
	}
	return u.runWrite(ctx)
}

func (u *unit) result() exchanger.Result {
	return exchanger.Result{Position: u.floor, ServedBy: u.instance.Name, Role: u.role, Reason: string(u.reason)}
}
