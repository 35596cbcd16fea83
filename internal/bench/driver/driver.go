package driver

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/session/tokenizer"
	"parsleyscale/internal/sheet/parser"
)

const (
	setUpTimeout = 20 * time.Second
	// setUpLag is the time that replicas get to apply the new tables.
	setUpLag = time.Second
	// writerThink keeps the acknowledgements of one writer about 30 ms apart.
	writerThink = 10 * time.Millisecond
)

// VM is an entry VM as the balancer sees it.
type VM struct {
	ID         string
	DataCentre string
	Address    string
}

// Config holds the settings of a load.
type Config struct {
	Seed    uint64
	Shape   Shape
	Service parser.Service
	Places  []string                            // data centres of the callers
	AddHost func(dataCentre string) netip.Addr  // IP number of a new caller; nil: any
	VMs     func() []VM                         // that the balancer holds to be ready
	Term    func(token, database string) uint64 // of a session's floor
	Clerks  int                                 // zero: as the shape says
	Writers int                                 // for each database
}

// Driver is a running load.
type Driver struct {
	cfg     Config
	start   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	rows    *directory
	stopped atomic.Bool

	acknowledged atomic.Int64
	reads        atomic.Int64

	mu      sync.Mutex
	history checker.History
}

// Start makes the tables and starts the callers.
func Start(cfg Config) (*Driver, error) {
	d := &Driver{cfg: cfg, start: time.Now(), rows: newDirectory()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	if err := d.setUp(); err != nil {
		d.cancel()
		return nil, err
	}
	time.Sleep(setUpLag)
	d.start = time.Now()
	clerks := cfg.Clerks
	if clerks == 0 {
		clerks = cfg.Shape.Clerks
	}
	for n := range clerks {
		c := d.newCaller(n, "clerk", "")
		d.wg.Go(c.work)
	}
	for n := range cfg.Writers * len(cfg.Service.Databases) {
		c := d.newCaller(n, "writer", cfg.Service.Databases[n%len(cfg.Service.Databases)].Name)
		d.wg.Go(c.write)
	}
	return d, nil
}

// newCaller makes a caller whose random numbers depend on the seed and its name only.
func (d *Driver) newCaller(n int, role, database string) *caller {
	place := d.cfg.Places[n%len(d.cfg.Places)]
	c := &caller{d: d, name: fmt.Sprintf("%s%d", role, n), place: place, database: database, isFixed: database != ""}
	if d.cfg.AddHost != nil {
		c.host = d.cfg.AddHost(place)
	}
	c.rng = rand.New(rand.NewPCG(d.cfg.Seed, uint64(n)<<8|uint64(len(role))))
	c.isSimple = c.rng.IntN(2) == 0
	if !c.isFixed {
		c.database = d.cfg.Service.Databases[c.rng.IntN(len(d.cfg.Service.Databases))].Name
	}
	c.chooseSession()
	return c
}

func (d *Driver) setUp() error {
	ctx, cancel := context.WithTimeout(d.ctx, setUpTimeout)
	defer cancel()
	vms := d.cfg.VMs()
	if len(vms) == 0 {
		return fmt.Errorf("no vm is ready")
	}
	for _, db := range d.cfg.Service.Databases {
		if err := d.createTables(ctx, vms[0].Address, db.Name); err != nil {
			return fmt.Errorf("tables of %s: %w", db.Name, err)
		}
	}
	return nil
}

func (d *Driver) createTables(ctx context.Context, address, database string) error {
	c, err := pgx.Connect(ctx, connString(address, database))
	if err != nil {
		return err
	}
	defer c.Close(ctx)
	for _, sql := range d.cfg.Shape.tables() {
		if _, err := c.Exec(ctx, sql); err != nil {
			return err
		}
	}
	return nil
}

func connString(address, database string) string {
	return "postgres://bench@" + address + "/" + database + "?sslmode=disable"
}

// Progress returns the number of acknowledged writes and of answered reads so far.
func (d *Driver) Progress() (acknowledged, reads int64) {
	return d.acknowledged.Load(), d.reads.Load()
}

// Now returns the time since the start of the history.
func (d *Driver) Now() time.Duration { return time.Since(d.start) }

// Stop lets every caller end its request and returns the history in order of start.
func (d *Driver) Stop() checker.History {
	d.stopped.Store(true)
	d.wg.Wait()
	d.cancel()
	d.mu.Lock()
	defer d.mu.Unlock()
	slices.SortStableFunc(d.history, func(a, b checker.Operation) int { return cmp.Compare(a.Start, b.Start) })
	return d.history
}

func (d *Driver) record(op checker.Operation) {
	if op.Outcome == checker.Acknowledged {
		if op.Kind.IsRead() {
			d.reads.Add(1)
		} else {
			d.acknowledged.Add(1)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.history = append(d.history, op)
}

// TermOf returns a function that finds the term of a floor in a token signed with key.
func TermOf(key string) (func(token, database string) uint64, error) {
	codec, err := tokenizer.NewCodec([]byte(key))
	if err != nil {
		return nil, err
	}
	return func(token, database string) uint64 {
		t, err := codec.Decode(token)
		if err != nil {
			return 0
		}
		p, _ := t.Floor(database)
		return p.Term
	}, nil
}
