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

// stateReadOnly is the SQLSTATE of a write on an instance that is no longer the primary.
const stateReadOnly = "25006"

// group holds the running components of one database. It implements exchanger.Runner.
type group struct {
	database     string
	sampler      *sampler.Sampler
	promoter     *promoter.Promoter
	executor     *executor.Executor
	writeGate    *promoter.WriteGate
	commits      *recorder.Recorder
	writeWatcher *writeWatcher

	isGateway atomic.Bool
	lastUsed  atomic.Int64 // start of the last unit, or of the group, as Unix time in ns

	mu         sync.Mutex
	sheetEntry parser.Database // the database as in the sheet that was applied last
	units      sync.WaitGroup  // running units
	isClosed   bool
}

// startLocked starts the components of a group. The caller must hold s.mu.
func (s *Supervisor) startLocked(db parser.Database) *group {
	g := &group{database: db.Name, writeGate: promoter.NewWriteGate(), commits: recorder.New(), sheetEntry: db}
	g.writeWatcher = newWriteWatcher(&peers{s: s}, db.Name, g.commits)
	g.lastUsed.Store(time.Now().UnixNano())
	g.sampler = sampler.New(sampler.Config{Database: db, Dial: s.cfg.Dial})
	g.promoter = promoter.New(promoter.Config{
		Sampler:     g.sampler,
		Dial:        s.cfg.Dial,
		Peers:       &peers{s: s},
		WriteGate:   g.writeGate,
		Rank:        func() int { return s.rank(db.Name) },
		OtherGroups: func() (int, int) { return s.otherGroups(db.Name) },
		Log:         s.logEvent,
	})
	g.executor = executor.New(executor.Config{
		Database:              db.Name,
		DataCentre:            s.cfg.Self.DataCentre,
		Region:                s.cfg.Self.Region,
		RegionOf:              s.regionOf,
		ReadKind:              func(name string) (parser.ReadKind, bool) { return s.readKind(db.Name, name) },
		Sampler:               g.sampler,
		Route:                 router.Decide,
		Pool:                  s.pool,
		Admitter:              s.admitter,
		Budget:                s.budget,
		WriteGate:             switchGate{g.writeGate, g.sampler},
		CommitTracker:         g.commits,
		NotCommittedSQLSTATEs: []string{connector.SQLStateFenced, stateReadOnly},
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

// update applies the database's entry in the sheet, and whether this VM is a gateway of the database.
func (g *group) update(db parser.Database, isGateway bool, log *logger.Logger) {
	if was := g.isGateway.Swap(isGateway); was != isGateway {
		event := logger.GatewayStopped
		if isGateway {
			event = logger.GatewayStarted
		}
		log.Info(event, logger.String("database", g.database))
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if hasSameInstances(g.sheetEntry, db) {
		return
	}
	g.sheetEntry = db
	g.sampler.SetDatabase(db)
}

// hasSameInstances reports whether two versions of a database have the same instances in the same order.
func hasSameInstances(a, b parser.Database) bool {
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

// Run executes a unit on the group's database.
func (g *group) Run(ctx context.Context, r exchanger.Request, s exchanger.Stream) (exchanger.Result, error) {
	if !g.beginUnit() {
		return exchanger.Result{}, classifier.New(classifier.NotRun, "this VM has stopped serving database %s", g.database)
	}
	defer g.units.Done()
	return g.executor.Run(ctx, r, s)
}

// beginUnit counts a unit as running and reports whether the group still accepts units.
func (g *group) beginUnit() bool {
	g.lastUsed.Store(time.Now().UnixNano())
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isClosed {
		return false
	}
	g.units.Add(1)
	return true
}

// isUsedWithin reports whether the last unit began less than d ago.
func (g *group) isUsedWithin(d time.Duration) bool {
	return time.Since(time.Unix(0, g.lastUsed.Load())) < d
}

// close rejects new units, waits for the running ones and stops the components.
func (g *group) close() {
	g.mu.Lock()
	g.isClosed = true
	g.mu.Unlock()
	g.units.Wait()
	g.writeWatcher.close()
	g.promoter.Close()
	g.executor.Close()
	g.sampler.Close()
}
