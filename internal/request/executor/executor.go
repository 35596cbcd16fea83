// Package executor runs units of work of one database on the instances of its replication group.
//
// For each unit of work (package exchanger defines it), it selects an instance, waits for admission, forwards the
// messages of the client (the SQL client that sent the unit) to the instance, and returns the responses. It guarantees:
//
//   - A read is retried on another instance only while its client has received no part of the response.
//   - The messages that acknowledge a commit are held back until a majority of the group has the commit.
//   - A request with a key takes effect at most once, because the key is written in the transaction of the request.
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
	DefaultMaxStaleness         = 5 * time.Second
	DefaultResponseTimeout      = time.Second
	DefaultKeyRetention         = 24 * time.Hour
	DefaultPriorityMaxStaleness = 500 * time.Millisecond
	DefaultKeyCleanupInterval   = time.Minute
	DefaultIdleInTransaction    = time.Minute
)

// Sampler provides the latest known state of the group and confirms that commits are held by a majority.
type Sampler interface {
	// View returns the latest snapshot of the group.
	View() sampler.View
	// NextRound returns the view after a confirmed status round that started after the call.
	NextRound(ctx context.Context) (sampler.View, error)
	// Confirm returns nil once a majority of the group holds the log up to p. It returns an error of kind
	// primaryReplaced when that can no longer happen, or the error of the context.
	Confirm(ctx context.Context, p tokenizer.Position) error
	// ReportConnectionFailure tells the sampler of a failed connection to an instance.
	ReportConnectionFailure(instance string, err error)
	// Changed returns a channel that is closed when the view changes.
	Changed() <-chan struct{}
}

// WriteGate pauses the write units of this gateway during a planned switchover of the primary.
type WriteGate interface {
	// Wait blocks while new write units are paused. It returns the error of the context when that ends first.
	Wait(ctx context.Context) error
	// Begin and End mark the start and the end of a running write unit.
	Begin()
	End()
}

// Config holds the settings and the dependencies of an Executor.
type Config struct {
	Database   string
	DataCentre string // of this VM
	Region     string
	RegionOf   func(dataCentre string) string
	ReadKind   func(name string) (parser.ReadKind, bool) // looks up a read kind in the current settings

	Sampler       Sampler
	Route         func(v sampler.View, q router.Query) router.Decision
	Pool          *pooler.Pool
	Admitter      *admitter.Admitter
	Budget        *admitter.RetryBudget
	WriteGate     WriteGate     // nil: writes are never paused
	CommitTracker CommitTracker // nil: a session read without a token must see every write that was acknowledged before it

	NotCommittedSQLSTATEs []string // SQLSTATEs by which an instance reports that the statement did not commit

	MaxStaleness time.Duration // staleness bound of reads without a read kind
	// ResponseTimeout is how long an instance may send nothing before a retryable first attempt is abandoned; a second
	// attempt gets four times as long.
	ResponseTimeout      time.Duration
	PriorityMaxStaleness time.Duration // reads with a staleness bound up to this are admitted before other reads
	KeyRetention         time.Duration // how long the key of a request prevents a second run
	KeyCleanupInterval   time.Duration // minimum time between two deletions of expired keys

	IdleInTransaction time.Duration // an open transaction is rolled back if no complete batch arrives for this long
}

func (c Config) withDefaults() Config {
	c.MaxStaleness = orDefault(c.MaxStaleness, DefaultMaxStaleness)
	c.ResponseTimeout = orDefault(c.ResponseTimeout, DefaultResponseTimeout)
	c.PriorityMaxStaleness = orDefault(c.PriorityMaxStaleness, DefaultPriorityMaxStaleness)
	c.KeyRetention = orDefault(c.KeyRetention, DefaultKeyRetention)
	c.KeyCleanupInterval = orDefault(c.KeyCleanupInterval, DefaultKeyCleanupInterval)
	c.IdleInTransaction = orDefault(c.IdleInTransaction, DefaultIdleInTransaction)
	if c.WriteGate == nil {
		c.WriteGate = noopWriteGate{}
	}
	if c.Budget == nil {
		c.Budget = admitter.NewRetryBudget()
	}
	return c
}

func orDefault(d, def time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return def
}

// CommitTracker records which session made each recent commit.
type CommitTracker interface {
	// RecordCommit records a commit before it is acknowledged.
	RecordCommit(p tokenizer.Position, session string)
	// Floor returns the position that an instance must have applied to show a
	// session all its writes up to the position confirmed. It ignores commits
	// up to appliedIndex, and waits, at most until ctx ends, for records of other gateways
	// that have not arrived yet.
	Floor(ctx context.Context, session string, confirmed tokenizer.Position, appliedIndex uint64) tokenizer.Position
}

type noopWriteGate struct{}

func (noopWriteGate) Wait(context.Context) error { return nil }
func (noopWriteGate) Begin()                     {}
func (noopWriteGate) End()                       {}

// Executor runs the units of work of one database. It implements exchanger.Runner.
type Executor struct {
	cfg             Config
	notCommitted    map[string]bool
	requestKeyLocks keyLocks
	keyCleaner      keyCleaner
	unitPool        sync.Pool
}

var _ exchanger.Runner = (*Executor)(nil)

// New returns an Executor. Settings of cfg that are zero get their defaults.
func New(cfg Config) *Executor {
	e := &Executor{cfg: cfg.withDefaults(), notCommitted: map[string]bool{}}
	for _, code := range cfg.NotCommittedSQLSTATEs {
		e.notCommitted[code] = true
	}
	e.unitPool.New = func() any { return newUnit() }
	e.requestKeyLocks.heldKeys = map[string]chan struct{}{}
	e.keyCleaner.init()
	return e
}

// Close stops the deletion of expired keys and waits for it to return. The caller must not run units any more.
func (e *Executor) Close() { e.keyCleaner.close() }

// Run runs one unit of work. When it returns an error, it has read the current batch of the client up to its end, so
// that the next message on the stream begins a new unit.
func (e *Executor) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	u := e.unitPool.Get().(*unit)
	u.reset(e, r, s)
	defer e.unitPool.Put(u)
	res, err := u.execute(ctx)
	u.cleanUp()
	if err != nil {
		u.drainBatch()
	}
	return res, err
}

func (u *unit) execute(ctx context.Context) (exchanger.Result, error) {
	if err := u.clientBatch.receive(u.stream, u.request.Key != ""); err != nil {
		return exchanger.Result{}, err
	}
	u.arrivedAt = time.Now()
	if err := u.request.Validate(); err != nil {
		return exchanger.Result{}, err
	}
	if u.request.Database != u.executor.cfg.Database {
		return exchanger.Result{}, classifier.New(classifier.UnknownDatabase,
			"database %q is not served by this executor of database %q", u.request.Database, u.executor.cfg.Database)
	}
	u.executor.cfg.Budget.RecordRequest()
	firstCtx, cancel := context.WithTimeout(ctx, u.request.Timeout)
	defer cancel()
	if err := u.runFirstBatch(firstCtx); err != nil {
		return exchanger.Result{}, err
	}
	if err := u.runLaterBatches(ctx); err != nil {
		return exchanger.Result{}, err
	}
	return u.result(), nil
}

// runFirstBatch runs the first batch. It is the whole unit unless it opens a transaction.
func (u *unit) runFirstBatch(ctx context.Context) error {
	switch {
	case u.request.Class.IsRead():
		return u.runRead(ctx)
	case u.request.Key != "" && u.request.Class == exchanger.Transaction:
		return u.runKeyedTransaction(ctx)
	case u.request.Key != "" && u.clientBatch.hasExecute:
		return u.runKeyedWrite(ctx)
	}
	return u.runWrite(ctx)
}

func (u *unit) result() exchanger.Result {
	return exchanger.Result{Position: u.floor, ServedBy: u.instance.Name, Role: u.role, Reason: string(u.reason)}
}
