package driver

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/jackc/pgx/v5"

	"parsleyscale/internal/bench/checker"
	"parsleyscale/internal/sheet/parser"
)

const (
	connectTimeout = 1500 * time.Millisecond
	// requestTimeout is shorter than the proxy's own deadline, so that a caller whose VM is silent moves on.
	requestTimeout = 5 * time.Second
	settleTimeout  = 12 * time.Second // after which a caller stops to repeat a request
	backoff        = 20 * time.Millisecond
	pageRequests   = 24
	// defaultBound is the staleness of reads without a read kind.
	defaultBound = 5 * time.Second
)

// Chances in percent.
const (
	chanceToken     = 95 // that a session carries a token from VM to VM
	chanceAnonymous = 5  // that a caller has no session
	chanceRoam      = 4  // that a clerk moves to another VM before an action
	chanceMove      = 30 // that a clerk who moves also goes to another database
	chanceLocal     = 70 // that the balancer chooses a VM of the caller's data centre
	chanceRepeat    = 5  // that a caller repeats an acknowledged request
	chanceSample    = 25 // that a caller asks what served a read
)

// caller is one caller of the load. It runs one request at a time.
type caller struct {
	d        *Driver
	rng      *rand.Rand
	name     string
	place    string
	host     netip.Addr
	isFixed  bool // to its database
	isSimple bool // uses simple queries
	session  string
	hasToken bool              // carries its token from VM to VM and needs no session identity
	tokens   map[string]string // by database

	database string
	vm       VM
	conn     *pgx.Conn
	readKind string // in force on conn

	requests int            // made so far
	entries  map[string]int // requests of entries by database
	names    map[string]*ownName
	counters map[string]bool // databases in which the caller has a counter
}

// ownName is the name that a caller corrects in one database.
type ownName struct {
	row      string
	revision int64
}

func (c *caller) percent(n int) bool { return c.rng.IntN(100) < n }

func (c *caller) chooseSession() {
	c.entries, c.names = map[string]int{}, map[string]*ownName{}
	c.counters, c.tokens = map[string]bool{}, map[string]string{}
	if !c.isFixed && c.percent(chanceAnonymous) {
		return
	}
	c.session = "session-" + c.name
	c.hasToken = c.percent(chanceToken)
}

// work runs a clerk.
func (c *caller) work() {
	defer c.disconnect()
	for !c.d.stopped.Load() {
		if c.percent(chanceRoam) {
			c.roam()
		}
		c.act(c.chooseAction())
		c.think(c.d.cfg.Shape.Think)
	}
}

// write runs a writer.
func (c *caller) write() {
	defer c.disconnect()
	for !c.d.stopped.Load() {
		c.book(1, true)
		c.think(writerThink)
	}
}

// think waits for a random time around mean.
func (c *caller) think(mean time.Duration) {
	time.Sleep(time.Duration(min(c.rng.ExpFloat64(), 4) * float64(mean)))
}

func (c *caller) chooseAction() Action {
	total := 0
	for _, w := range c.d.cfg.Shape.Weights {
		total += w.Weight
	}
	n := c.rng.IntN(total)
	for _, w := range c.d.cfg.Shape.Weights {
		if n -= w.Weight; n < 0 {
			return w.Action
		}
	}
	return LookUpName
}

// roam ends the connection and chooses the database of the next one.
func (c *caller) roam() {
	c.disconnect()
	if !c.isFixed && c.percent(chanceMove) {
		list := c.d.cfg.Service.Databases
		c.database = list[c.rng.IntN(len(list))].Name
	}
}

func (c *caller) disconnect() {
	if c.conn == nil {
		return
	}
	conn := c.conn
	c.conn = nil
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_ = conn.Close(ctx)
}

// balance chooses a VM as the platform's balancer does; another than the last one if there are several.
func (c *caller) balance() (VM, bool) {
	var near, all []VM
	for _, v := range c.d.cfg.VMs() {
		if v.ID == c.vm.ID {
			continue
		}
		all = append(all, v)
		if v.DataCentre == c.place {
			near = append(near, v)
		}
	}
	if len(all) == 0 {
		return c.vm, c.vm.ID != ""
	}
	if len(near) > 0 && c.percent(chanceLocal) {
		return near[c.rng.IntN(len(near))], true
	}
	return all[c.rng.IntN(len(all))], true
}

// connect makes sure that there is a connection.
func (c *caller) connect() error {
	if c.conn != nil && !c.conn.IsClosed() {
		return nil
	}
	vm, ok := c.balance()
	if !ok {
		return fmt.Errorf("no vm is ready")
	}
	cfg, err := pgx.ParseConfig(connString(vm.Address, c.database))
	if err != nil {
		return err
	}
	if c.host.IsValid() {
		cfg.DialFunc = (&net.Dialer{LocalAddr: &net.TCPAddr{IP: c.host.AsSlice()}}).DialContext
	}
	if c.session != "" && !c.hasToken {
		cfg.RuntimeParams["parsleyscale.session"] = c.session
	}
	if t := c.tokens[c.database]; t != "" && c.hasToken {
		cfg.RuntimeParams["parsleyscale.token"] = t
	}
	ctx, cancel := context.WithTimeout(c.d.ctx, connectTimeout)
	defer cancel()
	c.vm, c.readKind = vm, ""
	c.conn, err = pgx.ConnectConfig(ctx, cfg)
	return err
}

// operation returns an operation that starts now.
func (c *caller) operation(k checker.Kind, row string) checker.Operation {
	return checker.Operation{
		Caller: c.name, Session: c.session, Database: c.database, VM: c.vm.ID,
		Kind: k, Row: row, Bound: c.bound(k), Start: c.d.Now(),
	}
}

// bound returns the staleness that the read kind in force accepts.
func (c *caller) bound(k checker.Kind) time.Duration {
	if !k.IsRead() {
		return 0
	}
	if c.readKind == "" {
		return defaultBound
	}
	kind, _ := c.d.cfg.Service.ReadKind(c.readKind)
	return time.Duration(parser.Duration(kind.MaxStaleness))
}

// finish writes an operation down and drops the connection when it is of no use any more.
func (c *caller) finish(op checker.Operation, err error) verdict {
	if op.End == 0 {
		op.End = c.d.Now()
	}
	v := judge(err)
	op.Outcome, op.ErrorKind = v.outcome, v.kind
	if err != nil {
		op.Message = err.Error()
	}
	if err == nil {
		c.keepToken(&op)
	}
	c.d.record(op)
	if v.isLost {
		c.disconnect()
	}
	return v
}

// keepToken takes over the session's token.
func (c *caller) keepToken(op *checker.Operation) {
	if c.conn == nil {
		return
	}
	t := c.conn.PgConn().ParameterStatus("parsleyscale.token")
	if t == "" {
		return
	}
	c.tokens[c.database] = t
	if c.d.cfg.Term != nil && !op.Kind.IsRead() {
		op.Term = c.d.cfg.Term(t, c.database)
	}
}
