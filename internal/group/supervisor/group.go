package supervisor

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"parsleyscale/internal/failure/classifier"
	"parsleyscale/internal/group/connector"
	"parsleyscale/internal/group/promoter"
	"parsleyscale/internal/group/sampler"
	"parsleyscale/internal/request/exchanger"
	"parsleyscale/internal/request/executor"
	"parsleyscale/internal/request/router"
	"parsleyscale/internal/session/recorder"
	"parsleyscale/internal/sheet/parser"
	"parsleyscale/internal/telemetry/logger"
)

// stateReadOnly is the SQLSTATE of a write on an instance that is no primary any more.
const stateReadOnly = "25006"

// group holds the running parts of one database. It implements exchanger.Runner.
type group struct {
	database string
	sampler  *sampler.Sampler
	promoter *promoter.Promoter
	executor *executor.Executor
	holder   *promoter.Holder
	writes   *recorder.Recorder
	watcher  *watcher

	isGateway atomic.Bool
	lastUsed  atomic.Int64 // Unix time in ns

	mu       sync.Mutex
	instance parser.Database
	units    sync.WaitGroup
	isClosed bool
}

// startLocked starts the parts of a group; s.mu is held.
func (s *Supervisor) startLocked(db parser.Database) *group {
	g := &group{database: db.Name, holder: promoter.NewHolder(), writes: recorder.New(), instance: db}
	g.watcher = newWatcher(&peers{s: s}, db.Name, g.writes)
	g.lastUsed.Store(time.Now().UnixNano())
	g.sampler = sampler.New(sampler.Config{Database: db, Dial: s.cfg.Dial})
	g.promoter = promoter.New(promoter.Config{
		Sampler:     g.sampler,
		Dial:        s.cfg.Dial,
		Peers:       &peers{s: s},
		Holder:      g.holder,
		Rank:        func() int { return s.rank(db.Name) },
		OtherGroups: func() (int, int) { return s.otherGroups(db.Name) },
		Log:         s.logEvent,
	})
	g.executor = executor.New(executor.Config{
		Database:     db.Name,
		DataCentre:   s.cfg.Self.DataCentre,
		Region:       s.cfg.Self.Region,
		RegionOf:     s.regionOf,
		ReadKind:     func(name string) (parser.ReadKind, bool) { return s.readKind(db.Name, name) },
		Sampler:      g.sampler,
		Decide:       router.Decide,
		Pool:         s.pool,
		Admitter:     s.admitter,
		Budget:       s.budget,
		Hold:         hold{g.holder, g.sampler},
		Writes:       g.writes,
		NotCommitted: []string{connector.StateFenced, stateReadOnly},
	})
	s.groups[db.Name] = g
	return g
}

func (s *Supervisor) regionOf(dataCentre string) string {
	_, sheet, _ := s.cfg.Sheets.Current()
	return sheet.RegionOf(dataCentre)
}

func (s *Supervisor) readKind(database, name string) (parser.ReadKind, bool) {
	_, sheet, _ := s.cfg.Sheets.Current()
	_, service, _ := sheet.Database(database)
	return service.ReadKind(name)
}

// update follows a change of the sheet or of the live VMs.
func (g *group) update(db parser.Database, isGateway bool, log *logger.Logger) {
	if was := g.isGateway.Swap(isGateway); was != isGateway {
		e := logger.GatewayStopped
		if isGateway {
			e = logger.GatewayStarted
		}
		log.Info(e, logger.String("database", g.database))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if isSame(g.instance, db) {
		return
	}
	g.instance = db
	g.sampler.SetDatabase(db)
}

func isSame(a, b parser.Database) bool {
	if len(a.Instances) != len(b.Instances) {
		return false
	}
	for n := range a.Instances {
		if a.Instances[n] != b.Instances[n] {
			return false
		}
	}
	return true
}

// Run runs a unit on the group.
func (g *group) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	if !g.begin() {
		return exchanger.Result{}, classifier.New(classifier.NotRun, "this vm stopped serving database %s", g.database)
	}
	defer g.units.Done()
	return g.executor.Run(ctx, r, s)
}

func (g *group) begin() bool {
	g.lastUsed.Store(time.Now().UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return false
	}
	g.units.Add(1)
	return true
}

func (g *group) isInUse(d time.Duration) bool {
	return time.Since(time.Unix(0, g.lastUsed.Load())) < d
}

// close waits for running units and stops the parts.
func (g *group) close() {
	g.mu.Lock()
	g.isClosed = true
	g.mu.Unlock()
	g.units.Wait()
	g.watcher.close()
	g.promoter.Close()
	g.executor.Close()
	g.sampler.Close()
}
